//! Keys and certificates of the process.

use std::path::Path;
use std::sync::Arc;

use arc_swap::ArcSwap;
use ryerouter_settings::{NodeSettings, TlsFiles};
use ryerouter_wire::peer::DatagramSeal;
use tokio_rustls::rustls::pki_types::ServerName;

use crate::peer::{PeerTls, read_peer_keys};
use crate::reload::Loaded;
use crate::rpc::{OperatorAccess, OperatorKeysError, read_operator_keys};
use crate::tls::{ClientCertificates, ClientTls, ServerTls, TlsError};

use super::ProcessError;
use super::settings_conversion::tls_paths;

/// Name that every node's certificate for peers is made out to.
const PEER_SERVER_NAME: &str = "ryerouter-peer";
const HTTP_PROTOCOLS: &[&str] = &["h2", "http/1.1"];
const RPC_PROTOCOLS: &[&str] = &["h2"];
const PEER_PROTOCOLS: &[&str] = &[];

/// Keys and certificates of the process. Where settings name no file, the listener speaks plain
/// text or the other side is not checked.
#[derive(Clone)]
pub(super) struct KeySet {
    pub(super) callers: Option<Arc<ServerTls>>,
    pub(super) peers: Option<PeerTls>,
    pub(super) rpc: Option<Arc<ServerTls>>,
    pub(super) seal: Option<Arc<ArcSwap<DatagramSeal>>>,
    pub(super) access: Arc<ArcSwap<OperatorAccess>>,
}

impl KeySet {
    /// Reads all files.
    pub(super) fn load(settings: &NodeSettings) -> Result<Self, ProcessError> {
        let seal = settings.peers.key_file.as_deref().map(read_peer_keys);
        let access = read_access(settings.operators.keys_file.as_deref())?;
        let settings = &settings.tls;
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
            seal: seal
                .transpose()?
                .map(|seal| Arc::new(ArcSwap::from_pointee(seal))),
            access: Arc::new(ArcSwap::from_pointee(access)),
        })
    }

    /// Whether any operator that connects may do everything.
    pub(super) fn is_open(&self) -> bool {
        matches!(**self.access.load(), OperatorAccess::Open)
    }

    /// Reads all files again, at the places that new settings name, without putting them in force.
    /// No check is turned on or off: that takes a restart, on all nodes in turn.
    pub(super) fn read_again(&self, settings: &NodeSettings) -> Result<Vec<Loaded>, ProcessError> {
        let tls = &settings.tls;
        let mut loaded = Vec::new();
        if let (Some(listener), Some(files)) = (&self.callers, &tls.callers) {
            loaded.push(listener.read_again(tls_paths(files))?);
        }
        if let (Some(links), Some(files)) = (&self.peers, &tls.peers) {
            loaded.push(links.server.read_again(tls_paths(files))?);
            loaded.push(links.client.read_again(tls_paths(files))?);
        }
        if let (Some(listener), Some(files)) = (&self.rpc, &tls.rpc) {
            loaded.push(listener.read_again(tls_paths(files))?);
        }
        if let (Some(seal), Some(path)) = (&self.seal, &settings.peers.key_file) {
            loaded.push(Loaded::new(seal, read_peer_keys(path)?));
        }
        if let (false, Some(path)) = (self.is_open(), &settings.operators.keys_file) {
            let access = OperatorAccess::Keys(read_operator_keys(path)?);
            loaded.push(Loaded::new(&self.access, access));
        }
        Ok(loaded)
    }
}

/// Who may call the operator RPC: the keys of the file, or everybody when there is none.
fn read_access(keys_file: Option<&Path>) -> Result<OperatorAccess, OperatorKeysError> {
    match keys_file {
        Some(path) => read_operator_keys(path).map(OperatorAccess::Keys),
        None => Ok(OperatorAccess::Open),
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
