//! Reads PEM files.

use std::path::Path;

use tokio_rustls::rustls::RootCertStore;
use tokio_rustls::rustls::pki_types::pem::{Error, PemObject};
use tokio_rustls::rustls::pki_types::{CertificateDer, PrivateKeyDer};

use super::TlsError;

/// All certificates of a file, at least one.
pub(super) fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let read = CertificateDer::pem_file_iter(path).and_then(Iterator::collect);
    let certificates: Vec<_> = read.map_err(|error| file_error(path, &error))?;
    if certificates.is_empty() {
        return Err(file_error(path, &Error::NoItemsFound));
    }
    Ok(certificates)
}

/// The private key of a file.
pub(super) fn read_key(path: &Path) -> Result<PrivateKeyDer<'static>, TlsError> {
    PrivateKeyDer::from_pem_file(path).map_err(|error| file_error(path, &error))
}

/// The authorities of a file.
pub(super) fn read_authorities(path: &Path) -> Result<RootCertStore, TlsError> {
    let mut authorities = RootCertStore::empty();
    for certificate in read_certificates(path)? {
        let added = authorities.add(certificate);
        added.map_err(|error| TlsError::File {
            path: path.to_owned(),
            reason: error.to_string(),
        })?;
    }
    Ok(authorities)
}

fn file_error(path: &Path, error: &Error) -> TlsError {
    let reason = match error {
        Error::NoItemsFound => "holds no certificate or key in PEM form".to_owned(),
        Error::Io(error) => error.to_string(),
        // The text of other errors may repeat parts of the file.
        _ => "is not in PEM form".to_owned(),
    };
    TlsError::File {
        path: path.to_owned(),
        reason,
    }
}
