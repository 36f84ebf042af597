//! The accepted configuration as traffic decisions read it.

mod cache_scope;
mod caller_limits;
mod engine_profile;
mod key_conflict;
mod kv_store_profile;
mod pool_profile;
mod rate_limit;
mod request_kind;
mod route;
mod routing_table;
mod tenant;
mod urgency_ranks;
mod weighted_pool;

pub use cache_scope::{CacheScope, IsolationDigest};
pub use caller_limits::CallerLimits;
pub use engine_profile::EngineProfile;
pub use key_conflict::KeyConflict;
pub use kv_store_profile::KvStoreProfile;
pub use pool_profile::PoolProfile;
pub use rate_limit::{RateLimit, Unit};
pub use request_kind::RequestKind;
pub use route::Route;
pub use routing_table::RoutingTable;
pub use tenant::Tenant;
pub use urgency_ranks::UrgencyRanks;
pub use weighted_pool::WeightedPool;
