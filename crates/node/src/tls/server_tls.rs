//! TLS of a listener.

use std::io;
use std::sync::Arc;

use arc_swap::ArcSwap;
use tokio::net::TcpStream;
use tokio_rustls::TlsAcceptor;
use tokio_rustls::rustls::ServerConfig;
use tokio_rustls::rustls::server::WebPkiClientVerifier;

use crate::reload::Loaded;

use super::handshake::finish_handshake;
use super::pem_files::{read_authorities, read_certificates, read_key};
use super::{ClientCertificates, ServerStream, TlsError, TlsPaths};

/// TLS of a listener; its certificate can be replaced while it runs.
pub struct ServerTls {
    clients: ClientCertificates,
    protocols: Vec<Vec<u8>>,
    current: Arc<ArcSwap<ServerConfig>>,
}

impl ServerTls {
    /// Reads the files. `protocols` are offered to clients, best first, such as `h2`.
    pub fn load(
        paths: TlsPaths,
        clients: ClientCertificates,
        protocols: &[&str],
    ) -> Result<Self, TlsError> {
        let protocols: Vec<Vec<u8>> = protocols
            .iter()
            .map(|protocol| protocol.as_bytes().to_vec())
            .collect();
        let config = read_config(&paths, clients, &protocols)?;
        Ok(Self {
            clients,
            protocols,
            current: Arc::new(ArcSwap::from_pointee(config)),
        })
    }

    /// Reads the files again, which may lie elsewhere now.
    pub fn read_again(&self, paths: TlsPaths) -> Result<Loaded, TlsError> {
        let config = read_config(&paths, self.clients, &self.protocols)?;
        Ok(Loaded::new(&self.current, config))
    }

    /// Makes the handshake on an accepted connection.
    pub async fn accept(&self, stream: TcpStream) -> io::Result<ServerStream> {
        let acceptor = TlsAcceptor::from(self.current.load_full());
        let stream = finish_handshake(acceptor.accept(stream)).await?;
        Ok(ServerStream::Tls(Box::new(stream)))
    }
}

fn read_config(
    paths: &TlsPaths,
    clients: ClientCertificates,
    protocols: &[Vec<u8>],
) -> Result<ServerConfig, TlsError> {
    let certificates = read_certificates(&paths.certificate)?;
    let key = read_key(&paths.key)?;
    let builder = ServerConfig::builder();
    let builder = match clients {
        ClientCertificates::NotAsked => builder.with_no_client_auth(),
        ClientCertificates::Required => {
            let path = paths.authority.as_ref().ok_or(TlsError::AuthorityMissing)?;
            let authorities = Arc::new(read_authorities(path)?);
            let verifier = WebPkiClientVerifier::builder(authorities)
                .build()
                .map_err(|error| TlsError::File {
                    path: path.clone(),
                    reason: error.to_string(),
                })?;
            builder.with_client_cert_verifier(verifier)
        }
    };
    let mut config = builder
        .with_single_cert(certificates, key)
        .map_err(|error| TlsError::Pair {
            path: paths.certificate.clone(),
            reason: error.to_string(),
        })?;
    config.alpn_protocols = protocols.to_vec();
    Ok(config)
}
