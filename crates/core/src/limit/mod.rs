//! Limits of tenants, held over all router processes together.
//!
//! A limit is split over a few banks (the tenant's group of keepers). A [`LimitAllocator`] hands out
//! tickets from its part, and a [`LimitClient`] in each router process spends only tickets it
//! has, so the limit holds however the network is cut. Pairs of process and tenant without traffic
//! exchange nothing. After the idea of moved quota in kuilt BoundedCounter;
//! `docs/design/tenant-limits.md` compares it with a static split and a central count.

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
