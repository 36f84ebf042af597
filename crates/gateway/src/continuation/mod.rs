//! Streams that were interrupted go on at the software version that began them; see docs/design/continuations.md.
//!
//! [`ryerouter_core::continuation`] decides. Here stands what nodes tell each other for it, and what a node remembers.

mod answer;
mod heard_zones;
mod lookup;
mod question;
mod record_batches;
mod records;
mod served_versions;
mod shard_reading;
mod software_constraint;
mod state;
mod store_calls;
mod store_sync;
mod taken;
mod version_record;
mod version_table;
mod witness;

pub use answer::Answer;
pub use heard_zones::HeardZones;
pub use lookup::Lookup;
pub use question::Question;
pub use record_batches::RecordBatches;
pub use records::Records;
pub use served_versions::ServedVersions;
pub use shard_reading::ShardReading;
pub use software_constraint::SoftwareConstraint;
pub use state::Continuations;
pub use store_calls::StoreCalls;
pub use store_sync::{StoreSettings, sync_continuations};
pub use taken::Taken;
pub use version_record::VersionRecord;
pub use version_table::VersionTable;
pub use witness::Witness;
