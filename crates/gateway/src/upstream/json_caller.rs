//! Short calls with JSON bodies.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Request, StatusCode};
use tokio::time::timeout;

use super::{ConnectSettings, Connection};
use crate::clock::Clock;

/// Idle connections to one address that are kept.
const MOST_IDLE: usize = 4;
const MOST_IDLE_TIME: Duration = Duration::from_secs(8);
/// Longest answer.
const MOST_BYTES: usize = 16 * 1_024 * 1_024;

/// Why a call has no answer; it may have been carried out.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{detail}")]
pub struct CallError {
    /// What the transport said.
    pub detail: String,
}

/// Makes short calls with JSON bodies, on kept connections where possible.
#[derive(Debug)]
pub struct JsonCaller {
    settings: ConnectSettings,
    clock: Clock,
    idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
}

impl JsonCaller {
    /// Has no connections yet.
    pub fn new(settings: ConnectSettings, clock: Clock) -> Self {
        Self {
            settings,
            clock,
            idle: RefCell::default(),
        }
    }

    /// Makes a call and reads its whole answer, within `limit`.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let answer = timeout(limit, self.exchange(address, request)).await;
        answer.unwrap_or_else(|_| Err(failure("no answer in time")))
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), CallError> {
        set_headers(address, &mut request)?;
        loop {
            let kept = self.take_idle(address);
            let is_kept = kept.is_some();
            let mut connection = match kept {
                Some(connection) => connection,
                None => Connection::open(address, &self.settings)
                    .await
                    .map_err(failure)?,
            };
            match connection.sender.try_send_request(request).await {
                Ok(answer) => {
                    let status = answer.status();
                    let body = Limited::new(answer.into_body(), MOST_BYTES);
                    let body = body.collect().await.map_err(failure)?;
                    self.keep(address, connection);
                    return Ok((status, body.to_bytes()));
                }
                Err(mut error) => match error.take_message() {
                    Some(unsent) if is_kept => request = unsent,
                    _ => return Err(failure(error.error())),
                },
            }
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            if connection.is_usable(now, MOST_IDLE_TIME) {
                return Some(connection);
            }
        }
        None
    }

    fn keep(&self, address: SocketAddr, mut connection: Connection) {
        connection.idle_since = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        if connections.len() < MOST_IDLE {
            connections.push(connection);
        }
    }
}

fn set_headers(address: SocketAddr, request: &mut Request<Full<Bytes>>) -> Result<(), CallError> {
    let host = HeaderValue::from_str(&address.to_string()).map_err(failure)?;
    let headers = request.headers_mut();
    headers.insert(HOST, host);
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    Ok(())
}

fn failure(error: impl ToString) -> CallError {
    CallError {
        detail: error.to_string(),
    }
}
