//! TLS of all listeners.

use std::sync::Arc;

use ryerouter_settings::{TlsFiles, TlsSettings};
use tokio_rustls::rustls::pki_types::ServerName;

use crate::peer::PeerTls;
use crate::tls::{ClientCertificates, ClientTls, LoadedTls, ServerTls, TlsError};

use super::settings_conversion::tls_paths;

/// Name that every node's certificate for peers is made out to.
const PEER_SERVER_NAME: &str = "ryerouter-peer";
const HTTP_PROTOCOLS: &[&str] = &["h2", "http/1.1"];
const RPC_PROTOCOLS: &[&str] = &["h2"];
const PEER_PROTOCOLS: &[&str] = &[];

/// TLS of all listeners; a listener without files speaks plain text.
#[derive(Clone, Default)]
pub(super) struct TlsSet {
    pub(super) callers: Option<Arc<ServerTls>>,
    pub(super) peers: Option<PeerTls>,
    pub(super) rpc: Option<Arc<ServerTls>>,
}

impl TlsSet {
    /// Reads all files.
    pub(super) fn load(settings: &TlsSettings) -> Result<Self, TlsError> {
        let callers = settings.callers.as_ref().map(|files| {
            let paths = tls_paths(files);
            ServerTls::load(paths, ClientCertificates::NotAsked, HTTP_PROTOCOLS)
        });
        let rpc = settings.rpc.as_ref().map(|files| {
            let clients = match files.authority {
                Some(_) => ClientCertificates::Required,
                None => ClientCertificates::NotAsked,
            };
            ServerTls::load(tls_paths(files), clients, RPC_PROTOCOLS)
        });
        Ok(Self {
            callers: callers.transpose()?.map(Arc::new),
            peers: settings.peers.as_ref().map(load_peers).transpose()?,
            rpc: rpc.transpose()?.map(Arc::new),
        })
    }

    /// Reads all files again, at the places that new settings name, without putting them in force.
    /// TLS is neither turned on nor off: that takes a restart.
    pub(super) fn read_again(&self, settings: &TlsSettings) -> Result<Vec<LoadedTls>, TlsError> {
        let mut loaded = Vec::new();
        if let (Some(tls), Some(files)) = (&self.callers, &settings.callers) {
            loaded.push(tls.read_again(tls_paths(files))?);
        }
        if let (Some(tls), Some(files)) = (&self.peers, &settings.peers) {
            loaded.push(tls.server.read_again(tls_paths(files))?);
            loaded.push(tls.client.read_again(tls_paths(files))?);
        }
        if let (Some(tls), Some(files)) = (&self.rpc, &settings.rpc) {
            loaded.push(tls.read_again(tls_paths(files))?);
        }
        Ok(loaded)
    }
}

fn load_peers(files: &TlsFiles) -> Result<PeerTls, TlsError> {
    let name = ServerName::try_from(PEER_SERVER_NAME).expect("a valid host name");
    let paths = tls_paths(files);
    let server = ServerTls::load(paths.clone(), ClientCertificates::Required, PEER_PROTOCOLS)?;
    let client = ClientTls::load(paths, name)?;
    Ok(PeerTls {
        server: Arc::new(server),
        client: Arc::new(client),
    })
}
