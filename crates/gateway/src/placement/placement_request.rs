//! The properties of a request that placement depends on.

use std::time::Duration;

use ryerouter_core::identity::{BackEndName, PoolName};

use super::Prompt;
use crate::catalogue::CacheScope;

/// The properties of a request that placement depends on.
#[derive(Debug, Clone)]
pub struct PlacementRequest<'a> {
    /// Id of the request; seeds the sample of engines and breaks ties.
    pub id: &'a str,
    /// The pool that serves it.
    pub pool: &'a PoolName,
    /// The prompt; `None` for requests to plain services.
    pub prompt: Option<&'a Prompt>,
    /// The requests with which it shares cached prefixes.
    pub cache_scope: &'a CacheScope,
    /// Latency of the first token that the caller asks for.
    pub target_latency: Duration,
    /// Size of the request body.
    pub body_bytes: usize,
    /// Back ends to which earlier attempts were sent.
    pub tried: &'a [BackEndName],
}
