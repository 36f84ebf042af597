//! Header names between router and back end; see `docs/design/engine-protocol.md`.

/// Attempt id in hexadecimal; the back end echoes it.
pub const ATTEMPT_ID: &str = "x-attempt-id";
/// Request id, for logs on both sides.
pub const REQUEST_ID: &str = "x-request-id";
/// Request: incarnation the back end must have. Answer: the one it has.
pub const ENGINE_INCARNATION: &str = "x-engine-incarnation";
/// Request: weights version the back end must serve. Answer: the one it serves.
pub const WEIGHTS_VERSION: &str = "x-weights-version";
/// `interactive` or `batch`.
pub const PRIORITY: &str = "x-priority";
/// Tenant name, by which the engine separates its cache.
pub const TENANT: &str = "x-tenant";
/// Request: `ADDRESS/PREFIX_HASH/TOKENS` of kept KV cache to import first.
pub const KV_IMPORT: &str = "x-kv-import";
/// Request: `ADDRESS/PREFIX_HASH/TOKENS`: keep the KV cache of this prefix there afterwards.
pub const KV_EXPORT: &str = "x-kv-export";
/// Request: chunks the caller already has; the engine continues from prompt + partial answer.
pub const CONTINUE_FROM: &str = "x-continue-from";
/// Request: nested prefix hashes `HASH:TOKENS,HASH:TOKENS,…`, by which the engine keys its cache.
pub const PREFIX_CHAIN: &str = "x-prefix-chain";
/// Answer: requests running.
pub const ENGINE_RUNNING: &str = "x-engine-running";
/// Answer: requests waiting.
pub const ENGINE_WAITING: &str = "x-engine-waiting";
/// Answer, optional: prompt tokens yet to be computed, `INTERACTIVE/BATCH`.
pub const ENGINE_QUEUED_TOKENS: &str = "x-engine-queued-tokens";
/// Answer: `active` or `draining`.
pub const ENGINE_STATE: &str = "x-engine-state";
/// Answer to a refused request: `not-run`, `ran` or `unknown`.
pub const RUN_STATE: &str = "x-run-state";
/// Answer to a refused request: the reason, as [`ryerouter_core::dispatch::NotRunReason`] prints.
pub const NOT_RUN_REASON: &str = "x-not-run-reason";
