//! Attempts over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::{Request, Response, StatusCode};
use ryerouter_core::dispatch::{Assignment, NotRunReason, ResumePoint, RunState};
use slog::{debug, info};
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::time::timeout;

use crate::service::is_event_stream;
use crate::traffic::TrafficContext;

use super::engine_request::{attempt_request, cancel_request, hex_id};
use super::{
    AnswerHead, AttemptFailure, ConnectionPool, EngineAnswer, EngineBody, EngineConnection,
    EngineTarget, LinkError, PayloadKind, ReadLimits, RejectedAnswer, RequestPayload, SendFailure,
};

/// Longest time a cancel request may take.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between sweeps of unused connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Most bytes of a refusal's body that are passed on.
const REJECTION_BYTES: usize = 64 * 1024;

/// Makes attempts on back ends over the connections of one traffic thread.
#[derive(Clone)]
pub(crate) struct EngineLink {
    context: Arc<TrafficContext>,
    pool: Arc<ConnectionPool>,
}

impl EngineLink {
    pub(crate) fn new(context: Arc<TrafficContext>) -> Self {
        let pool = ConnectionPool::new(
            context.settings.idle_connections_per_back_end,
            context.settings.idle_connection_timeout,
        );
        Self {
            context,
            pool: Arc::new(pool),
        }
    }

    /// Closes unused connections in time; runs until its thread stops.
    pub(crate) async fn sweep_idle_connections(self) {
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            self.pool.sweep();
        }
    }

    /// Makes an attempt and returns the back end's answer once its head is there.
    pub(crate) async fn attempt(
        &self,
        payload: &RequestPayload,
        assignment: &Assignment,
        target: EngineTarget,
        delivered_text: &str,
    ) -> Result<EngineAnswer, AttemptFailure> {
        let resumes = matches!(assignment.resume, Some(ResumePoint::SameEngine { .. }));
        if resumes && payload.kind != PayloadKind::CompletionStream {
            return Err(LinkError::NotResumable.into());
        }
        let request = attempt_request(payload, assignment, target, delivered_text)
            .map_err(|source| LinkError::Unwritable { source })?;
        let sent = self.send_attempt(payload, target, request, resumes);
        let limit = self.context.settings.answer_head_timeout;
        let sent_at = Instant::now();
        let Ok(sent) = timeout(limit, sent).await else {
            self.fell_silent(target.address, sent_at);
            return Err(LinkError::AnswerTimeout.into());
        };
        let (answer, connection) = sent?;
        self.check(payload, assignment, answer, connection).await
    }

    /// Tells a back end, in the background, that an attempt is no longer wanted.
    pub(crate) fn cancel(&self, target: EngineTarget) {
        // While a traffic thread is torn down there is nothing left to send a request with.
        let Ok(runtime) = Handle::try_current() else {
            return;
        };
        self.context.metrics.cancels.inc();
        let link = self.clone();
        runtime.spawn(async move {
            let sent = match link.try_cancel(target).await {
                // Asking again is harmless, and the connection may have fallen silent.
                Err(LinkError::AnswerTimeout) => link.try_cancel(target).await,
                sent => sent,
            };
            if let Err(cause) = sent {
                debug!(link.context.logger, "cancel_failed";
                    "attempt" => hex_id(target.attempt), "cause" => %cause);
            }
        });
    }

    async fn try_cancel(&self, target: EngineTarget) -> Result<(), LinkError> {
        let sent_at = Instant::now();
        let sent = timeout(CANCEL_TIMEOUT, self.send_cancel(target)).await;
        sent.unwrap_or_else(|_| {
            self.fell_silent(target.address, sent_at);
            Err(LinkError::AnswerTimeout)
        })
    }

    /// A back end has not answered what was sent to it at `since`: does not use again the
    /// connections to it that brought nothing since then.
    pub(crate) fn fell_silent(&self, address: SocketAddr, since: Instant) {
        let closed = self.pool.close_unheard(address, since);
        info!(self.context.logger, "back_end_silent";
            "address" => %address, "for_ms" => since.elapsed().as_millis() as u64,
            "unused_connections_closed" => closed);
    }

    async fn send_cancel(&self, target: EngineTarget) -> Result<(), LinkError> {
        let request = cancel_request(target).map_err(|source| LinkError::Unwritable { source })?;
        let (answer, connection) = self
            .send(target.address, request, ReadLimits::Model)
            .await?;
        let body = EngineBody::new(answer.into_body(), connection, self.pool.clone());
        let mut body = body;
        while let Some(Ok(_)) = std::future::poll_fn(|context| body.poll_data(context)).await {}
        Ok(())
    }

    async fn send_attempt(
        &self,
        payload: &RequestPayload,
        target: EngineTarget,
        request: Request<Full<Bytes>>,
        resumes: bool,
    ) -> Result<(Response<Incoming>, EngineConnection), LinkError> {
        let limits = self.read_limits(payload.kind);
        // Resuming runs nothing.
        if resumes || !payload.needs_fresh_connection {
            return self.send(target.address, request, limits).await;
        }
        let connection = self.connect(target.address, limits).await?;
        // Right before the request is written: the process may have been paused until now.
        if let Some(limit) = payload.dispatch_before
            && self.context.dispatch.now() >= limit
        {
            return Err(LinkError::ClaimLapsed);
        }
        send_on(connection, request).await
    }

    /// Sends a request over an unused connection or a fresh one.
    ///
    /// An unused connection may just have been closed by its peer; as long as not one byte of the
    /// request was written, a fresh one is tried.
    async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limits: ReadLimits,
    ) -> Result<(Response<Incoming>, EngineConnection), LinkError> {
        if let Some(mut connection) = self.pool.take(address) {
            match connection.send(request.clone()).await {
                Ok(answer) => return Ok((answer, connection)),
                Err(SendFailure::Lost(source)) => return Err(LinkError::Lost { source }),
                Err(SendFailure::NotWritten) => {}
            }
        }
        let connection = self.connect(address, limits).await?;
        send_on(connection, request).await
    }

    fn read_limits(&self, kind: PayloadKind) -> ReadLimits {
        match kind {
            PayloadKind::CompletionStream | PayloadKind::Completion => ReadLimits::Model,
            PayloadKind::Service => ReadLimits::Service {
                buffer_bytes: self.context.settings.connection_buffer_bytes,
            },
        }
    }

    async fn connect(
        &self,
        address: SocketAddr,
        limits: ReadLimits,
    ) -> Result<EngineConnection, LinkError> {
        let settings = &self.context.settings;
        let connected = timeout(settings.connect_timeout, TcpStream::connect(address)).await;
        let connected = connected.map_err(|_| LinkError::ConnectTimeout)?;
        let stream = connected.map_err(|source| LinkError::Connect { source })?;
        self.context.metrics.back_end_connects.inc();
        EngineConnection::open(address, stream, limits).await
    }

    /// Decides what an answer proves. An answer that does not name the attempt proves nothing,
    /// whatever it says; its connection is closed.
    async fn check(
        &self,
        payload: &RequestPayload,
        assignment: &Assignment,
        answer: Response<Incoming>,
        connection: EngineConnection,
    ) -> Result<EngineAnswer, AttemptFailure> {
        let (parts, incoming) = answer.into_parts();
        let head = AnswerHead::parse(&parts.headers);
        if !head.names(assignment.attempt) {
            let error = LinkError::WrongAttempt {
                expected: assignment.attempt,
                found: head.attempt,
            };
            return Err(error.into());
        }
        let body = EngineBody::new(incoming, connection, self.pool.clone());
        let answer = EngineAnswer {
            status: parts.status,
            headers: parts.headers,
            head,
            body,
        };
        if answer.head.run_state == Some(RunState::NotRun) {
            return Err(not_run(answer, assignment).await);
        }
        if payload.kind != PayloadKind::Service {
            check_completion(payload.kind, &answer, assignment)?;
        }
        Ok(answer)
    }
}

async fn send_on(
    mut connection: EngineConnection,
    request: Request<Full<Bytes>>,
) -> Result<(Response<Incoming>, EngineConnection), LinkError> {
    match connection.send(request).await {
        Ok(answer) => Ok((answer, connection)),
        Err(SendFailure::Lost(source)) => Err(LinkError::Lost { source }),
        Err(SendFailure::NotWritten) => Err(LinkError::NotWritten),
    }
}

/// Checks that a model engine's answer is a result from the weights that were asked for.
fn check_completion(
    kind: PayloadKind,
    answer: &EngineAnswer,
    assignment: &Assignment,
) -> Result<(), AttemptFailure> {
    let observation = answer.head.observation;
    if answer.status != StatusCode::OK {
        let status = answer.status.as_u16();
        return Err(AttemptFailure {
            error: LinkError::Failed { status },
            observation,
            rejection: None,
        });
    }
    if kind == PayloadKind::CompletionStream && !is_event_stream(&answer.headers) {
        return Err(AttemptFailure {
            error: LinkError::NotAStream,
            observation,
            rejection: None,
        });
    }
    let (Some(expected), Some(observed)) = (assignment.weights_version, observation) else {
        return Ok(());
    };
    if observed.weights_version == expected {
        return Ok(());
    }
    Err(AttemptFailure {
        error: LinkError::WrongWeights {
            expected,
            found: observed.weights_version,
        },
        observation,
        rejection: None,
    })
}

async fn not_run(answer: EngineAnswer, assignment: &Assignment) -> AttemptFailure {
    let stated = answer.head.not_run_reason;
    let reason = stated.unwrap_or_else(|| reason_of_status(answer.status, assignment));
    let observation = answer.head.observation;
    let status = answer.status;
    let rejection = match reason {
        NotRunReason::Rejected => read_rejection(answer).await,
        _ => None,
    };
    AttemptFailure {
        error: LinkError::NotRun {
            reason,
            status: status.as_u16(),
        },
        observation,
        rejection,
    }
}

/// The reason of an answer that says "not run" and gives none.
fn reason_of_status(status: StatusCode, assignment: &Assignment) -> NotRunReason {
    let resumed = matches!(assignment.resume, Some(ResumePoint::SameEngine { .. }));
    match status {
        // The engine no longer holds the attempt: for the stream it is another engine.
        StatusCode::NOT_FOUND if resumed => NotRunReason::IncarnationMismatch,
        StatusCode::PRECONDITION_FAILED => NotRunReason::IncarnationMismatch,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => NotRunReason::Overloaded,
        _ => NotRunReason::Rejected,
    }
}

async fn read_rejection(answer: EngineAnswer) -> Option<Box<RejectedAnswer>> {
    let content_type = answer.headers.get(CONTENT_TYPE).cloned();
    let status = answer.status;
    let body = Limited::new(answer.body, REJECTION_BYTES).collect().await;
    let body = body.ok()?.to_bytes();
    Some(Box::new(RejectedAnswer {
        status,
        content_type,
        body,
    }))
}
