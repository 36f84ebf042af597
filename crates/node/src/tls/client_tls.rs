//! TLS of connections to peers.

use std::io;
use std::sync::Arc;

use arc_swap::ArcSwap;
use tokio::net::TcpStream;
use tokio_rustls::TlsConnector;
use tokio_rustls::rustls::ClientConfig;
use tokio_rustls::rustls::pki_types::ServerName;

use crate::reload::Loaded;

use super::handshake::finish_handshake;
use super::pem_files::{read_authorities, read_certificates, read_key};
use super::{ClientStream, TlsError, TlsPaths};

/// TLS of connections to peers: shows the own certificate and checks the peer's. Both can be
/// replaced while it runs.
pub struct ClientTls {
    server_name: ServerName<'static>,
    current: Arc<ArcSwap<ClientConfig>>,
}

impl ClientTls {
    /// Reads the files. Peers must show a certificate for `server_name`: machines are replaced at
    /// any time, so their addresses are in no certificate.
    pub fn load(paths: TlsPaths, server_name: ServerName<'static>) -> Result<Self, TlsError> {
        let config = read_config(&paths)?;
        Ok(Self {
            server_name,
            current: Arc::new(ArcSwap::from_pointee(config)),
        })
    }

    /// Reads the files again, which may lie elsewhere now.
    pub fn read_again(&self, paths: TlsPaths) -> Result<Loaded, TlsError> {
        let config = read_config(&paths)?;
        Ok(Loaded::new(&self.current, config))
    }

    /// Makes the handshake on an opened connection.
    pub async fn connect(&self, stream: TcpStream) -> io::Result<ClientStream> {
        let connector = TlsConnector::from(self.current.load_full());
        let connecting = connector.connect(self.server_name.clone(), stream);
        let stream = finish_handshake(connecting).await?;
        Ok(ClientStream::Tls(Box::new(stream)))
    }
}

fn read_config(paths: &TlsPaths) -> Result<ClientConfig, TlsError> {
    let authority = paths.authority.as_ref().ok_or(TlsError::AuthorityMissing)?;
    let authorities = read_authorities(authority)?;
    let certificates = read_certificates(&paths.certificate)?;
    let key = read_key(&paths.key)?;
    ClientConfig::builder()
        .with_root_certificates(authorities)
        .with_client_auth_cert(certificates, key)
        .map_err(|error| TlsError::Pair {
            path: paths.certificate.clone(),
            reason: error.to_string(),
        })
}
