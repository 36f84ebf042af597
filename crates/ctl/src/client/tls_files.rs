//! TLS of the operator RPC.

use tonic::transport::{Certificate, ClientTlsConfig, Identity};

use crate::arguments::GlobalArguments;
use crate::ctl_error::CtlError;

/// TLS of the operator RPC.
#[derive(Debug, Clone)]
pub struct TlsFiles {
    config: ClientTlsConfig,
}

impl TlsFiles {
    /// Reads the files that the command line names; `None` when it names no authority.
    pub fn read(arguments: &GlobalArguments) -> Result<Option<Self>, CtlError> {
        let certificate = &arguments.tls_certificate;
        let key = &arguments.tls_key;
        if certificate.is_some() != key.is_some() {
            return Err(CtlError::usage(
                "--tls-certificate and --tls-key go together",
            ));
        }
        let Some(authority) = &arguments.tls_authority else {
            if certificate.is_some() || arguments.tls_name.is_some() {
                return Err(CtlError::usage("TLS options need --tls-authority"));
            }
            return Ok(None);
        };
        let mut config =
            ClientTlsConfig::new().ca_certificate(Certificate::from_pem(read(authority)?));
        if let (Some(certificate), Some(key)) = (certificate, key) {
            config = config.identity(Identity::from_pem(read(certificate)?, read(key)?));
        }
        if let Some(name) = &arguments.tls_name {
            config = config.domain_name(name);
        }
        Ok(Some(Self { config }))
    }

    /// The configuration for the connection.
    pub(super) fn config(&self) -> ClientTlsConfig {
        self.config.clone()
    }
}

fn read(path: &str) -> Result<Vec<u8>, CtlError> {
    std::fs::read(path).map_err(|source| CtlError::Unreadable {
        path: path.to_owned(),
        source,
    })
}
