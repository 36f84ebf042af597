//! Serves one caller connection.

use std::convert::Infallible;
use std::sync::Arc;

use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use slog::debug;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use crate::caller::CallerService;
use crate::tls::ServerStream;

use super::Worker;
use super::stall_guard::StallGuard;

/// Most concurrent HTTP/2 streams of one caller connection.
const HTTP2_STREAMS: u32 = 1_024;
/// Flow-control window of one HTTP/2 stream, which bounds what an uploading caller may send ahead.
const HTTP2_STREAM_WINDOW: u32 = 64 * 1024;
/// Flow-control window of one HTTP/2 connection.
const HTTP2_CONNECTION_WINDOW: u32 = 1024 * 1024;

/// Serves caller connections of one traffic thread over HTTP/1.1 and HTTP/2.
#[derive(Clone)]
pub(crate) struct ConnectionServer {
    worker: Arc<Worker>,
    builder: Arc<auto::Builder<TokioExecutor>>,
    shutdown: CancellationToken,
}

impl ConnectionServer {
    pub(crate) fn new(worker: Arc<Worker>, shutdown: CancellationToken) -> Self {
        let builder = Arc::new(new_builder(&worker));
        Self {
            worker,
            builder,
            shutdown,
        }
    }

    /// Serves the connection until either side closes it or a planned stop ends it.
    pub(crate) async fn serve(self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        if let Some(stream) = self.secure(stream).await {
            self.serve_stream(stream).await;
        }
        self.worker.context.metrics.caller_connections.dec();
    }

    /// Makes the TLS handshake where TLS is set; in the connection's own task, so that a slow one
    /// holds up nobody.
    async fn secure(&self, stream: TcpStream) -> Option<ServerStream> {
        let context = &self.worker.context;
        let Some(tls) = &context.settings.tls else {
            return Some(stream.into());
        };
        match tls.accept(stream).await {
            Ok(stream) => Some(stream),
            Err(cause) => {
                debug!(context.logger, "caller_handshake_failed"; "cause" => cause.to_string());
                None
            }
        }
    }

    async fn serve_stream(&self, stream: ServerStream) {
        let stall_timeout = self.worker.context.settings.caller_stall_timeout;
        let io = TokioIo::new(StallGuard::new(stream, stall_timeout));
        let worker = self.worker.clone();
        let service = service_fn(move |request| {
            let service = CallerService::new(worker.clone());
            // Boxed, so that its memory goes back once the answer has begun: a stream would hold
            // on to it otherwise.
            Box::pin(async move { Ok::<_, Infallible>(service.answer(request).await) })
        });
        let connection = self.builder.serve_connection(io, service);
        tokio::pin!(connection);
        let ended = tokio::select! {
            // A stop is looked for only when the connection has nothing to do.
            biased;
            ended = connection.as_mut() => ended,
            () = self.shutdown.cancelled() => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(cause) = ended {
            debug!(self.worker.context.logger, "caller_connection_failed";
                "cause" => cause.to_string());
        }
    }
}

fn new_builder(worker: &Worker) -> auto::Builder<TokioExecutor> {
    let settings = &worker.context.settings;
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .max_buf_size(settings.connection_buffer_bytes)
        .header_read_timeout(settings.header_read_timeout)
        .keep_alive(true);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(HTTP2_STREAMS)
        .initial_stream_window_size(HTTP2_STREAM_WINDOW)
        .initial_connection_window_size(HTTP2_CONNECTION_WINDOW)
        .max_send_buf_size(settings.connection_buffer_bytes)
        .max_header_list_size(settings.connection_buffer_bytes as u32)
        .keep_alive_interval(settings.caller_stall_timeout)
        .keep_alive_timeout(settings.caller_stall_timeout);
    builder
}
