//! Tenant limits, enforced over all router processes together.
//!
//! A limit is divided between a few allocators, which are the keepers of the tenant's
//! [`KeeperGroup`](crate::claim::KeeperGroup). A [`LimitAllocator`] grants permits from its share,
//! and a [`LimitClient`] in each router process spends only permits that it has, so the limit holds
//! under any network partition. A process exchanges no messages about a tenant without traffic. The
//! design follows the quota transfer of kuilt's BoundedCounter; `docs/design/tenant-limits.md`
//! compares it with a static split and a central count.

mod allocator_account;
mod allocator_authority;
mod allocator_share;
mod client_account;
mod limit_allocator;
mod limit_allocator_event;
mod limit_client;
mod limit_cost;
mod limit_decision;
mod limit_envelope;
mod limit_grant;
mod limit_message;
mod limit_request;
mod limit_settings;
mod token_bucket;

pub use allocator_share::{allocator_group, allocator_share};
pub use limit_allocator::LimitAllocator;
pub use limit_allocator_event::LimitAllocatorEvent;
pub use limit_client::LimitClient;
pub use limit_cost::LimitCost;
pub use limit_decision::LimitDecision;
pub use limit_envelope::LimitEnvelope;
pub use limit_grant::LimitGrant;
pub use limit_message::LimitMessage;
pub use limit_request::LimitRequest;
pub use limit_settings::LimitSettings;
pub use token_bucket::TokenBucket;
