//! Rate limits of tenants at this node: its accounts and the usage that other nodes report.
//!
//! [`ryerouter_core::quota`] decides on requests; see docs/design/tenant-limits.md.

mod settlements;
mod standing;
mod table;
mod usage_update;
mod zone_total;

pub use settlements::EarlierReport;
use settlements::Settlements;
pub use standing::Standing;
pub use table::Quotas;
pub use usage_update::{TenantKey, UsageUpdate, tenant_key};
use zone_total::ZoneTotal;
