//! A request that may be sent to an engine.

use std::rc::Rc;

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use ryerouter_core::Timestamp;
use ryerouter_core::identity::PoolName;

use crate::catalogue::{Route, Tenant};
use crate::request::CallerRequest;

/// A request that may be sent to an engine.
#[derive(Debug)]
pub struct AcceptedRequest {
    /// What its head says.
    pub caller: CallerRequest,
    /// Its method.
    pub method: Method,
    /// Its path and query, unchanged.
    pub uri: Uri,
    /// Its headers that are passed on.
    pub headers: HeaderMap,
    /// Its whole body.
    pub body: Bytes,
    /// Its route.
    pub route: Rc<Route>,
    /// The pool that serves it.
    pub pool: PoolName,
    /// Who asks.
    pub tenant: Option<Rc<Tenant>>,
    /// Version of the configuration that decided all this.
    pub configuration_version: u64,
    /// When its head arrived.
    pub arrived_at: Timestamp,
    /// When its final answer is due.
    pub deadline: Timestamp,
}

impl AcceptedRequest {
    /// Urgency, 0 first: the tenant's takes precedence over the route's.
    pub fn priority(&self) -> u8 {
        let of_tenant = self.tenant.as_ref().and_then(|tenant| tenant.priority);
        of_tenant.unwrap_or(self.route.priority)
    }
}
