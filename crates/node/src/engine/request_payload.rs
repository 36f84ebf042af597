//! What a request sends to a back end.

use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method};
use ryerouter_core::Timestamp;
use ryerouter_core::dispatch::Priority;
use ryerouter_core::identity::{RequestId, TenantName};

use crate::caller::HeldBody;

/// What a request sends to whichever back end serves it.
#[derive(Debug)]
pub(crate) struct RequestPayload {
    pub(crate) kind: PayloadKind,
    pub(crate) method: Method,
    /// Path and query at the back end.
    pub(crate) path: String,
    /// The caller's headers that go on to the back end.
    pub(crate) headers: HeaderMap,
    pub(crate) body: HeldBody,
    pub(crate) request: RequestId,
    pub(crate) tenant: TenantName,
    pub(crate) priority: Priority,
    /// Prefixes by which the engine keys its cache.
    pub(crate) prefix_chain: Option<HeaderValue>,
    /// It must run at most once, so it never shares a connection with an earlier request: one that
    /// the back end is just closing would leave its outcome unknown.
    pub(crate) needs_fresh_connection: bool,
    /// No attempt may start at or after this time, because its claim may lapse then.
    pub(crate) dispatch_before: Option<Timestamp>,
}

/// What kind of answer a request wants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PayloadKind {
    /// A model's answer as a stream of events.
    CompletionStream,
    /// A model's answer as one document.
    Completion,
    /// A plain service's answer.
    Service,
}
