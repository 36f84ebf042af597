//! A request that may be sent to an engine.

use std::cell::OnceCell;
use std::rc::Rc;

use bytes::Bytes;
use hyper::header::{HOST, HeaderMap};
use hyper::{Method, Uri};
use ryerouter_core::Timestamp;
use ryerouter_core::identity::PoolName;
use ryerouter_core::poison::Digest;

use crate::catalogue::{RequestKind, Route, Tenant};
use crate::poison;
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
    /// What stands for it and its repeats, once that was asked for: mostly it never is.
    pub(super) digest: OnceCell<Digest>,
}

impl AcceptedRequest {
    /// Its kind, as logs name it.
    pub(super) fn kind_label(&self) -> &'static str {
        match (self.route.kind, self.route.is_idempotent()) {
            (RequestKind::Safe, _) => "safe",
            (RequestKind::Unsafe, _) => "unsafe",
            (RequestKind::Streaming, true) => "resumable_stream",
            (RequestKind::Streaming, false) => "stream",
        }
    }

    /// What stands for it and its repeats.
    pub fn digest(&self) -> Digest {
        *self.digest.get_or_init(|| {
            let caller = self.tenant.as_ref().map(|tenant| &tenant.name);
            let host = self.headers.get(HOST).map(|host| host.as_bytes());
            poison::digest(caller, host.unwrap_or_default(), &self.uri, &self.body)
        })
    }

    /// Whether a good answer is a stream.
    pub fn is_stream(&self) -> bool {
        self.route.kind == RequestKind::Streaming
    }

    /// Urgency, 0 first: the tenant's takes precedence over the route's.
    pub fn priority(&self) -> u8 {
        let of_tenant = self.tenant.as_ref().and_then(|tenant| tenant.priority);
        of_tenant.unwrap_or(self.route.priority)
    }
}
