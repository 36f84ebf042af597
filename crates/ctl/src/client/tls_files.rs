//! TLS of the operator RPC.

use tonic::transport::{Certificate, ClientTlsConfig, Identity};

use crate::arguments::GlobalArguments;
use crate::ctl_error::CtlError;

use super::read_file;

/// TLS of the operator RPC.
#[derive(Debug, Clone)]
pub struct TlsFiles {
    config: ClientTlsConfig,
}

impl TlsFiles {
    /// Reads the files that the command line names; `None` when it names no authority.
    pub fn read(arguments: &GlobalArguments) -> Result<Option<Self>, CtlError> {
        let certificate = &arguments.certificate_file;
        let private_key = &arguments.private_key_file;
        if certificate.is_some() != private_key.is_some() {
            let message = "--certificate-file and --private-key-file go together";
            return Err(CtlError::usage(message));
        }
        let Some(authority) = &arguments.authority_file else {
            if certificate.is_some() {
                return Err(CtlError::usage("TLS needs --authority-file"));
            }
            return Ok(None);
        };
        let mut config = ClientTlsConfig::new()
            .domain_name(&arguments.server_name)
            .ca_certificate(Certificate::from_pem(read_file(authority)?));
        if let (Some(certificate), Some(private_key)) = (certificate, private_key) {
            let identity = Identity::from_pem(read_file(certificate)?, read_file(private_key)?);
            config = config.identity(identity);
        }
        Ok(Some(Self { config }))
    }

    /// The configuration for the connection.
    pub(super) fn config(&self) -> ClientTlsConfig {
        self.config.clone()
    }
}
