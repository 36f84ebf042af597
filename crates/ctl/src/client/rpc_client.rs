//! Client of the operator RPC.

use std::error::Error;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;
use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Response, Status};

use crate::change_source::ChangeSource;
use crate::ctl_error::CtlError;

use super::attempt_failure::AttemptFailure;
use super::{OperatorKey, RetryPolicy, TlsFiles};

/// Client of the operator RPC. Each call tries the servers in turn until one answers.
#[derive(Debug, Clone)]
pub struct RpcClient {
    servers: Vec<SocketAddr>,
    tls: Option<TlsFiles>,
    key: Option<OperatorKey>,
    retry: RetryPolicy,
    timeout: Duration,
    deadline: Instant,
}

impl RpcClient {
    /// A client of the servers in `servers`, addresses with commas between them.
    pub fn new(
        servers: &str,
        tls: Option<TlsFiles>,
        key: Option<OperatorKey>,
        retry: RetryPolicy,
        timeout: Duration,
    ) -> Result<Self, CtlError> {
        let parse = |text: &str| {
            text.trim()
                .parse::<SocketAddr>()
                .map_err(|_| CtlError::usage(format!("--server {text:?}: expected IP:PORT")))
        };
        Ok(Self {
            servers: servers.split(',').map(parse).collect::<Result<_, _>>()?,
            tls,
            key,
            retry,
            timeout,
            deadline: Instant::now() + timeout,
        })
    }

    /// The same client with its whole time limit before it.
    pub fn renewed(&self) -> Self {
        Self {
            deadline: Instant::now() + self.timeout,
            ..self.clone()
        }
    }

    /// When the whole command gives up.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Reads something; tried again until it succeeds, is refused or tries run out.
    pub async fn read<M, T, F, R>(&self, message: M, call: F) -> Result<T, CtlError>
    where
        M: Clone,
        F: Fn(Channel, Request<M>) -> R,
        R: Future<Output = Result<Response<T>, Status>>,
    {
        match self.try_repeatedly(message, call).await {
            Ok(answer) => Ok(answer),
            Err(failures) => Err(failures.last.into_error()),
        }
    }

    /// Writes something under the change id of `source`, the same in each try.
    pub async fn write<M, T, F, R>(
        &self,
        source: &ChangeSource,
        message: M,
        call: F,
    ) -> Result<T, CtlError>
    where
        M: Clone,
        F: Fn(Channel, Request<M>) -> R,
        R: Future<Output = Result<Response<T>, Status>>,
    {
        let failures = match self.try_repeatedly(message, call).await {
            Ok(answer) => return Ok(answer),
            Err(failures) => failures,
        };
        // A refusal settles it only when no earlier try may have made the change.
        if failures.may_be_done && !source.dry_run {
            return Err(CtlError::OutcomeUnknown {
                change_id: source.change_id.clone(),
                reason: failures.last.into_error().to_string(),
            });
        }
        Err(failures.last.into_error())
    }

    /// A request signed with the operator's key.
    pub fn request<M>(&self, message: M) -> Request<M> {
        let mut request = Request::new(message);
        if let Some(key) = &self.key {
            key.sign(&mut request);
        }
        request
    }

    /// Opens a connection to the first server that answers.
    pub async fn connect(&self) -> Result<Channel, CtlError> {
        let mut reason = String::new();
        for server in &self.servers {
            match self.connect_to(*server).await {
                Ok(channel) => return Ok(channel),
                Err(failure) => reason = failure,
            }
        }
        Err(CtlError::NoConnection {
            server: join(&self.servers),
            reason,
        })
    }

    async fn try_repeatedly<M, T, F, R>(&self, message: M, call: F) -> Result<T, Failures>
    where
        M: Clone,
        F: Fn(Channel, Request<M>) -> R,
        R: Future<Output = Result<Response<T>, Status>>,
    {
        let mut delay = self.retry.first_delay;
        let mut may_be_done = false;
        let mut attempt = 1;
        loop {
            let last = match self.try_once(message.clone(), &call).await {
                Ok(answer) => return Ok(answer),
                Err(failure) => failure,
            };
            may_be_done |= matches!(last, AttemptFailure::Unknown(_));
            let refused = matches!(last, AttemptFailure::Refused(_));
            let out_of_time = Instant::now() + delay >= self.deadline;
            if refused || out_of_time || attempt >= self.retry.attempts {
                return Err(Failures { last, may_be_done });
            }
            tokio::time::sleep(delay).await;
            delay *= 2;
            attempt += 1;
        }
    }

    async fn try_once<M, T, F, R>(&self, message: M, call: &F) -> Result<T, AttemptFailure>
    where
        F: Fn(Channel, Request<M>) -> R,
        R: Future<Output = Result<Response<T>, Status>>,
    {
        let channel = self.connect().await.map_err(AttemptFailure::NotSent)?;
        let mut request = self.request(message);
        request.set_timeout(self.attempt_timeout());
        let answer = tokio::time::timeout(self.attempt_timeout(), call(channel, request));
        match answer.await {
            Ok(Ok(response)) => Ok(response.into_inner()),
            Ok(Err(status)) => Err(status.into()),
            Err(_) => Err(Status::deadline_exceeded("no answer in time").into()),
        }
    }

    async fn connect_to(&self, server: SocketAddr) -> Result<Channel, String> {
        let scheme = if self.tls.is_some() { "https" } else { "http" };
        let endpoint = Endpoint::from_shared(format!("{scheme}://{server}"));
        let mut endpoint = endpoint.map_err(|error| error.to_string())?;
        if let Some(tls) = &self.tls {
            let configured = endpoint.tls_config(tls.config());
            endpoint = configured.map_err(|error| root_cause(&error))?;
        }
        let endpoint = endpoint.connect_timeout(self.attempt_timeout());
        endpoint.connect().await.map_err(|error| root_cause(&error))
    }

    fn attempt_timeout(&self) -> Duration {
        let left = self.deadline.saturating_duration_since(Instant::now());
        self.retry.attempt_timeout.min(left)
    }
}

/// How all tries of a call failed.
struct Failures {
    last: AttemptFailure,
    may_be_done: bool,
}

impl AttemptFailure {
    fn into_error(self) -> CtlError {
        match self {
            Self::NotSent(error) => error,
            Self::NotDone(status) | Self::Unknown(status) | Self::Refused(status) => {
                CtlError::Refused(status)
            }
        }
    }
}

fn join(servers: &[SocketAddr]) -> String {
    let texts: Vec<String> = servers.iter().map(ToString::to_string).collect();
    texts.join(", ")
}

/// What caused an error in the first place; the layers above only say "transport error".
fn root_cause(error: &dyn Error) -> String {
    let mut cause = error;
    while let Some(inner) = cause.source() {
        cause = inner;
    }
    cause.to_string()
}
