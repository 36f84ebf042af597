//! Server of the operator RPC.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::Stream;
use futures_util::stream;
use ryerouter_wire::generated::v1::back_end_service_server::BackEndServiceServer;
use ryerouter_wire::generated::v1::configuration_service_server::ConfigurationServiceServer;
use ryerouter_wire::generated::v1::operations_service_server::OperationsServiceServer;
use ryerouter_wire::generated::v1::pool_service_server::PoolServiceServer;
use ryerouter_wire::generated::v1::stage_service_server::StageServiceServer;
use ryerouter_wire::generated::v1::tenant_service_server::TenantServiceServer;
use slog::{Logger, info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio_util::sync::CancellationToken;
use tonic::transport::Server;

use crate::tls::{ServerStream, ServerTls};

use super::RpcContext;
use super::configuration_service::ConfigurationCalls;
use super::operations_service::OperationsCalls;
use super::resource_services::ResourceServices;
use super::rpc_connection::RpcConnection;

/// Most connections of operators at once.
const MAXIMUM_CONNECTIONS: usize = 256;
/// Most calls at once on one connection.
const MAXIMUM_CALLS: usize = 64;
/// Largest message of a call: a whole configuration applied at once.
const MAXIMUM_MESSAGE_BYTES: usize = 16 << 20;
/// Connections that may wait for the server after their handshake.
const ACCEPTED_QUEUE: usize = 16;
/// Pause after a failed accept, such as for want of file descriptors.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Silence after which a connection is probed.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(30);
/// Longest wait for the answer to a probe.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(10);

/// Server of the operator RPC with its address bound.
pub struct RpcServer {
    listener: TcpListener,
    address: SocketAddr,
    tls: Option<Arc<ServerTls>>,
}

impl RpcServer {
    /// Binds the address; port 0 takes a free one. Must be called within a runtime.
    pub fn bind(address: SocketAddr, tls: Option<Arc<ServerTls>>) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let address = listener.local_addr()?;
        Ok(Self {
            listener,
            address,
            tls,
        })
    }

    /// Where operators connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves until `shutdown`; calls under way are finished, watches are ended.
    pub async fn serve(self, context: Arc<RpcContext>, shutdown: CancellationToken) {
        let logger = context.logger.clone();
        info!(logger, "rpc_started"; "listen" => %self.address, "tls" => self.tls.is_some());
        let resources = ResourceServices::new(context.clone());
        let tenants = TenantServiceServer::new(resources.clone());
        let pools = PoolServiceServer::new(resources.clone());
        let back_ends = BackEndServiceServer::new(resources.clone());
        let stages = StageServiceServer::new(resources);
        let configuration = ConfigurationServiceServer::new(ConfigurationCalls::new(
            context.clone(),
            shutdown.clone(),
        ));
        let operations = OperationsServiceServer::new(OperationsCalls::new(context));
        let served = Server::builder()
            .concurrency_limit_per_connection(MAXIMUM_CALLS)
            .http2_keepalive_interval(Some(KEEP_ALIVE_INTERVAL))
            .http2_keepalive_timeout(Some(KEEP_ALIVE_TIMEOUT))
            .add_service(tenants.max_decoding_message_size(MAXIMUM_MESSAGE_BYTES))
            .add_service(pools.max_decoding_message_size(MAXIMUM_MESSAGE_BYTES))
            .add_service(back_ends.max_decoding_message_size(MAXIMUM_MESSAGE_BYTES))
            .add_service(stages.max_decoding_message_size(MAXIMUM_MESSAGE_BYTES))
            .add_service(configuration.max_decoding_message_size(MAXIMUM_MESSAGE_BYTES))
            .add_service(operations)
            .serve_with_incoming_shutdown(
                self.accept(logger.clone(), shutdown.clone()),
                shutdown.cancelled_owned(),
            )
            .await;
        if let Err(cause) = served {
            warn!(logger, "rpc_failed"; "cause" => %cause);
        }
    }

    /// Accepted connections after their handshakes, which run side by side so that a slow one does
    /// not hold up others.
    fn accept(
        self,
        logger: Logger,
        shutdown: CancellationToken,
    ) -> impl Stream<Item = io::Result<RpcConnection>> {
        let (accepted, mut queue) = mpsc::channel(ACCEPTED_QUEUE);
        let permits = Arc::new(Semaphore::new(MAXIMUM_CONNECTIONS));
        let Self { listener, tls, .. } = self;
        tokio::spawn(async move {
            loop {
                let stream = tokio::select! {
                    stream = listener.accept() => stream,
                    () = shutdown.cancelled() => return,
                };
                match stream {
                    Ok((stream, _)) => {
                        let Ok(permit) = permits.clone().try_acquire_owned() else {
                            warn!(logger, "rpc_connection_refused"; "limit" => MAXIMUM_CONNECTIONS);
                            continue;
                        };
                        let handshake = handshake(stream, tls.clone(), permit, logger.clone());
                        let accepted = accepted.clone();
                        tokio::spawn(async move {
                            if let Some(connection) = handshake.await {
                                let _ = accepted.send(connection).await;
                            }
                        });
                    }
                    Err(cause) => {
                        warn!(logger, "rpc_accept_failed"; "cause" => %cause);
                        tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                    }
                }
            }
        });
        stream::poll_fn(move |context| queue.poll_recv(context).map(|next| next.map(Ok)))
    }
}

async fn handshake(
    stream: TcpStream,
    tls: Option<Arc<ServerTls>>,
    permit: OwnedSemaphorePermit,
    logger: Logger,
) -> Option<RpcConnection> {
    let _ = stream.set_nodelay(true);
    let from = stream.peer_addr().ok();
    let accepted = match &tls {
        Some(tls) => tls.accept(stream).await,
        None => Ok(ServerStream::Plain(stream)),
    };
    match accepted {
        Ok(stream) => Some(RpcConnection::new(stream, permit)),
        Err(cause) => {
            info!(logger, "rpc_handshake_failed"; "from" => ?from, "cause" => %cause);
            None
        }
    }
}
