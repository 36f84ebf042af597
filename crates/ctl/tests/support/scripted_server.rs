//! A server on a port of its own.

use std::sync::Arc;

use parking_lot::Mutex;
use ryerouter_core::catalog::Catalog;
use ryerouter_wire::generated::v1::back_end_service_server::BackEndServiceServer;
use ryerouter_wire::generated::v1::configuration_service_server::ConfigurationServiceServer;
use ryerouter_wire::generated::v1::operations_service_server::OperationsServiceServer;
use ryerouter_wire::generated::v1::stage_service_server::StageServiceServer;
use ryerouter_wire::generated::v1::tenant_service_server::TenantServiceServer;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::Server;

use super::Reaction;
use super::scripted_services::ScriptedServices;
use super::server_state::ServerState;

/// A server of the operator RPC that keeps the configuration in memory and follows a script.
pub struct ScriptedServer {
    address: String,
    state: Arc<Mutex<ServerState>>,
    task: JoinHandle<()>,
}

impl ScriptedServer {
    /// Starts one.
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address").to_string();
        let state = Arc::new(Mutex::new(ServerState::default()));
        let services = ScriptedServices::new(Arc::clone(&state));
        let server = Server::builder()
            .add_service(BackEndServiceServer::new(services.clone()))
            .add_service(ConfigurationServiceServer::new(services.clone()))
            .add_service(OperationsServiceServer::new(services.clone()))
            .add_service(StageServiceServer::new(services.clone()))
            .add_service(TenantServiceServer::new(services))
            .serve_with_incoming(TcpListenerStream::new(listener));
        let task = tokio::spawn(async move { server.await.expect("the server runs") });
        Self {
            address,
            state,
            task,
        }
    }

    /// Its address.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Sets what it does with the next writes.
    pub fn script(&self, reactions: &[Reaction]) {
        self.state.lock().script = reactions.iter().copied().collect();
    }

    /// Sets how far behind its other node is at each status call.
    pub fn lags(&self, lags: &[u64]) {
        self.state.lock().lags = lags.iter().copied().collect();
    }

    /// Its configuration.
    pub fn catalog(&self) -> Catalog {
        self.state.lock().catalog.clone()
    }

    /// Changes its configuration without a change of an operator.
    pub fn change(&self, change: impl FnOnce(&mut Catalog)) {
        change(&mut self.state.lock().catalog);
    }

    /// Version of its configuration.
    pub fn version(&self) -> u64 {
        self.state.lock().catalog.version.0
    }

    /// Change ids of all writes that arrived.
    pub fn seen(&self) -> Vec<String> {
        self.state.lock().seen.clone()
    }

    /// Keys shown by all calls so far.
    pub fn keys(&self) -> Vec<String> {
        self.state.lock().keys.clone()
    }
}

impl Drop for ScriptedServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}
