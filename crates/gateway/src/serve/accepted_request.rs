//! A request that has passed all checks and may be sent to an engine.

use std::cell::OnceCell;
use std::rc::Rc;

use bytes::Bytes;
use hyper::header::{HOST, HeaderMap};
use hyper::{Method, Uri};
use ryerouter_core::Timestamp;
use ryerouter_core::admission::shedding::Urgency;
use ryerouter_core::continuation::StreamId;
use ryerouter_core::identity::PoolName;
use ryerouter_core::poison::Digest;

use crate::catalogue::{RequestKind, Route, Tenant};
use crate::poison;
use crate::request::CallerRequest;

/// A request that has passed all checks and may be sent to an engine.
#[derive(Debug)]
pub struct AcceptedRequest {
    /// Fields parsed from its head.
    pub caller: CallerRequest,
    /// HTTP method.
    pub method: Method,
    /// Path and query, as received.
    pub uri: Uri,
    /// Headers that are forwarded: all but the hop-by-hop ones.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Route that matches its host and path.
    pub route: Rc<Route>,
    /// The pool that serves it.
    pub pool: PoolName,
    /// Tenant to which the caller's key belongs; `None` on public routes and without configured tenants.
    pub tenant: Option<Rc<Tenant>>,
    /// Version of the configuration that determined route, tenant and pool.
    pub configuration_version: u64,
    /// When its head arrived.
    pub arrived_at: Timestamp,
    /// When the answer must be complete.
    pub deadline: Timestamp,
    /// The digest, computed on first use because most requests never need it.
    pub(super) digest: OnceCell<Digest>,
    /// The digests of its shared parts, likewise.
    pub(super) part_digests: OnceCell<Vec<Digest>>,
}

/// Maximum number of parts of a prompt whose crashes are counted.
const MAX_COUNTED_PARTS: usize = 16;

impl AcceptedRequest {
    /// Name of the request's kind in logs.
    pub(super) fn kind_label(&self) -> &'static str {
        match (self.route.kind, self.route.is_idempotent()) {
            (RequestKind::Safe, _) => "safe",
            (RequestKind::Unsafe, _) => "unsafe",
            (RequestKind::Streaming, true) => "resumable_stream",
            (RequestKind::Streaming, false) => "stream",
        }
    }

    /// Digest that identifies the request and its retries by the caller.
    pub fn digest(&self) -> Digest {
        *self.digest.get_or_init(|| {
            let caller = self.tenant.as_ref().map(|tenant| &tenant.name);
            let host = self.headers.get(HOST).map(|host| host.as_bytes());
            poison::digest(caller, host.unwrap_or_default(), &self.uri, &self.body)
        })
    }

    /// Digests of the parts of its prompt that other requests may share: all but the last.
    pub fn part_digests(&self) -> &[Digest] {
        self.part_digests.get_or_init(|| {
            let Some(prompt) = &self.caller.prompt else {
                return Vec::new();
            };
            let isolated = self.tenant.as_ref().filter(|tenant| tenant.is_isolated);
            let wall = isolated.map(|tenant| &tenant.name);
            let shared = prompt.parts.len().saturating_sub(1);
            let counted = prompt.parts[..shared].iter().take(MAX_COUNTED_PARTS);
            let digests = counted.map(|part| poison::part_digest(&prompt.model, wall, &part.id));
            digests.collect()
        })
    }

    /// All that crashes are counted by: the request and the parts of its prompt.
    pub fn suspects(&self) -> Vec<Digest> {
        let mut suspects = vec![self.digest()];
        suspects.extend(self.part_digests());
        suspects
    }

    /// The stream that it begins or takes up.
    pub fn stream_id(&self) -> StreamId {
        let tenant = self.tenant.as_ref().map(|tenant| &tenant.name);
        StreamId::new(tenant, &self.pool, self.caller.first_request_id())
    }

    /// Whether its stream may go on at another engine.
    pub fn is_resumable_stream(&self) -> bool {
        self.is_stream() && self.route.is_idempotent()
    }

    /// Whether a successful answer is a stream of events.
    pub fn is_stream(&self) -> bool {
        self.route.kind == RequestKind::Streaming
    }

    /// Urgency among the requests of the pool.
    pub fn urgency(&self) -> Urgency {
        Urgency {
            tenant: self.priority(),
            route: self.route.priority,
        }
    }

    /// Priority, 0 being the most urgent. The tenant's takes precedence over the route's.
    pub fn priority(&self) -> u8 {
        let of_tenant = self.tenant.as_ref().and_then(|tenant| tenant.priority);
        of_tenant.unwrap_or(self.route.priority)
    }
}
