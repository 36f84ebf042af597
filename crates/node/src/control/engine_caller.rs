//! Calls to engines that the director makes.

use std::net::SocketAddr;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use ryerouter_core::identity::{FencingNumber, Incarnation, WeightsVersion};
use ryerouter_core::order::{EngineReport, FencedOrder, OrderAnswer};
use serde::Deserialize;

use crate::platform::{HttpCaller, PlatformError, PlatformLimits, decode, request};

const LOAD_PATH: &str = "/v1/load";
const ORDERS_PATH: &str = "/v1/orders";
const DRAINING: &str = "draining";

/// Calls to engines that the director makes: load reports and orders.
#[derive(Debug, Clone)]
pub struct EngineCaller {
    caller: HttpCaller,
}

#[derive(Debug, Deserialize)]
struct LoadAnswer {
    incarnation: Incarnation,
    weights_version: WeightsVersion,
    state: String,
}

#[derive(Debug, Deserialize)]
struct SupersededAnswer {
    fencing_number: FencingNumber,
}

impl EngineCaller {
    /// A caller with these limits.
    pub fn new(limits: PlatformLimits) -> Self {
        Self {
            caller: HttpCaller::new(limits),
        }
    }

    /// The load report of an engine; `None` when it does not answer as it should.
    pub async fn poll(&self, address: SocketAddr) -> Option<EngineReport> {
        let request = request(Method::GET, address, LOAD_PATH, Bytes::new()).ok()?;
        let answer = self.caller.call(request).await.ok()?;
        if answer.status() != StatusCode::OK {
            return None;
        }
        let load: LoadAnswer = decode(answer.body()).ok()?;
        Some(EngineReport {
            incarnation: load.incarnation,
            weights_version: load.weights_version,
            draining: load.state == DRAINING,
        })
    }

    /// Gives an engine an order. Whatever is not certain is [`OrderAnswer::Lost`].
    pub async fn order(&self, address: SocketAddr, order: &FencedOrder) -> OrderAnswer {
        self.try_order(address, order)
            .await
            .unwrap_or(OrderAnswer::Lost)
    }

    async fn try_order(
        &self,
        address: SocketAddr,
        order: &FencedOrder,
    ) -> Result<OrderAnswer, PlatformError> {
        let body = serde_json::to_vec(order).map_err(|error| PlatformError::Malformed {
            detail: error.to_string(),
        })?;
        let request = request(Method::POST, address, ORDERS_PATH, Bytes::from(body))?;
        let answer = self.caller.call(request).await?;
        match answer.status() {
            status if status.is_success() => Ok(OrderAnswer::Accepted),
            StatusCode::CONFLICT => {
                let newest = decode::<SupersededAnswer>(answer.body())?.fencing_number;
                Ok(OrderAnswer::Superseded { newest })
            }
            status if status.is_client_error() => Ok(OrderAnswer::Refused),
            _ => Ok(OrderAnswer::Lost),
        }
    }
}
