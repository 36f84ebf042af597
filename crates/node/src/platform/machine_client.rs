//! Client of the machine list.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use ryerouter_core::control::MachineEntry;
use serde::Deserialize;

use super::http_connection::{HttpConnection, decode, unexpected_status};
use super::{PlatformError, PlatformLimits};

#[derive(Debug, Deserialize)]
struct MachineListAnswer {
    machines: Vec<MachineEntry>,
}

/// Client of the machine list.
#[derive(Debug, Clone)]
pub struct MachineClient {
    connection: HttpConnection,
}

impl MachineClient {
    /// A client of the machine list at `address`.
    pub fn new(address: SocketAddr, limits: PlatformLimits) -> Self {
        Self {
            connection: HttpConnection::new(address, limits),
        }
    }

    /// All machines the platform knows of; the list lags by seconds.
    pub async fn list(&self) -> Result<Vec<MachineEntry>, PlatformError> {
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = self
            .connection
            .uri("/machines")
            .parse()
            .expect("an address and a fixed path make a valid URI");
        let answer = self.connection.call(request).await?;
        match answer.status() {
            StatusCode::OK => Ok(decode::<MachineListAnswer>(answer.body())?.machines),
            _ => Err(unexpected_status(&answer)),
        }
    }
}
