//! Limits of tenants at this node: its accounts, and what the other nodes tell of theirs.
//!
//! How requests are decided is [`ryerouter_core::quota`]; see docs/design/tenant-limits.md.

mod standing;
mod table;
mod usage_update;

pub use standing::Standing;
pub use table::Quotas;
pub use usage_update::{TenantKey, UsageUpdate, tenant_key};
