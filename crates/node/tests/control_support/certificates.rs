//! Certificates made for tests.

use std::path::{Path, PathBuf};

use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};
use ryerouter_node::tls::TlsPaths;

/// An authority and a directory for what it issues; both go with the test.
pub struct Authority {
    issuer: CertifiedIssuer<'static, KeyPair>,
    directory: PathBuf,
}

impl Authority {
    /// A new authority whose files lie in `directory`.
    pub fn new(directory: &Path) -> Self {
        std::fs::create_dir_all(directory).unwrap();
        let mut params = CertificateParams::new(Vec::<String>::new()).unwrap();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate().unwrap();
        let issuer = CertifiedIssuer::self_signed(params, key).unwrap();
        let authority = Self {
            issuer,
            directory: directory.to_owned(),
        };
        std::fs::write(authority.certificate_path(), authority.issuer.pem()).unwrap();
        authority
    }

    pub fn certificate_path(&self) -> PathBuf {
        self.directory.join("authority.pem")
    }

    pub fn certificate_pem(&self) -> String {
        self.issuer.pem()
    }

    /// Issues a certificate for `host` into files called after `name`.
    pub fn issue(&self, name: &str, host: &str) -> TlsPaths {
        let key = KeyPair::generate().unwrap();
        let params = CertificateParams::new(vec![host.to_owned()]).unwrap();
        let certificate = params.signed_by(&key, &self.issuer).unwrap();
        let paths = TlsPaths {
            certificate: self.directory.join(format!("{name}.pem")),
            key: self.directory.join(format!("{name}.key")),
            authority: Some(self.certificate_path()),
        };
        std::fs::write(&paths.certificate, certificate.pem()).unwrap();
        std::fs::write(&paths.key, key.serialize_pem()).unwrap();
        paths
    }
}

/// A directory that goes with the test.
pub struct TestDirectory {
    path: PathBuf,
}

impl TestDirectory {
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("ryerouter-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).unwrap();
        Self { path }
    }

    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for TestDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path);
    }
}
