//! Header names between callers and router.

/// Request and answer: the request id; the router makes one up when the caller sends none.
pub const REQUEST_ID: &str = "x-request-id";
/// Request: `interactive` (usual) or `batch`.
pub const PRIORITY: &str = "x-ryerouter-priority";
/// Request: milliseconds the caller will wait for the first token.
pub const DEADLINE_MS: &str = "x-ryerouter-deadline-ms";
/// Request: key under which retries of the same request are recognised.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Request: `never` marks a request that must run at most once (needs an idempotency key; the
/// router makes a fresh one up when the caller sends none).
pub const REPEAT: &str = "x-ryerouter-repeat";
/// Answer: back end that served it.
pub const BACK_END: &str = "x-ryerouter-back-end";
/// Answer: data centre that served it.
pub const DATA_CENTRE: &str = "x-ryerouter-data-centre";
/// Answer: attempts made.
pub const ATTEMPTS: &str = "x-ryerouter-attempts";
/// Answer to a refusal: `not-run`, `ran` or `unknown`.
pub const RUN_STATE: &str = "x-ryerouter-run-state";
/// Answer to a refusal: the reason in snake case.
pub const REFUSAL_REASON: &str = "x-ryerouter-refusal-reason";
