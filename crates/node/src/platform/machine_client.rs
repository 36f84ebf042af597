//! Client of the machine list.

use std::net::SocketAddr;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use ryerouter_core::control::MachineEntry;
use serde::Deserialize;

use super::http_caller::{HttpCaller, decode, request, unexpected_status};
use super::{PlatformError, PlatformLimits};

#[derive(Debug, Deserialize)]
struct MachineListAnswer {
    machines: Vec<MachineEntry>,
}

/// Client of the machine list.
#[derive(Debug, Clone)]
pub struct MachineClient {
    caller: HttpCaller,
    address: SocketAddr,
}

impl MachineClient {
    /// A client of the machine list at `address`.
    pub fn new(address: SocketAddr, limits: PlatformLimits) -> Self {
        Self {
            caller: HttpCaller::new(limits),
            address,
        }
    }

    /// All machines the platform knows of; the list lags by seconds.
    pub async fn list(&self) -> Result<Vec<MachineEntry>, PlatformError> {
        let request = request(Method::GET, self.address, "/machines", Bytes::new())?;
        let answer = self.caller.call(request).await?;
        match answer.status() {
            StatusCode::OK => Ok(decode::<MachineListAnswer>(answer.body())?.machines),
            _ => Err(unexpected_status(&answer)),
        }
    }
}
