//! Rollout of new versions of engine software: which versions a node sends requests to, what it records about
//! their answers, and how a release is directed. [`ryerouter_core::release`] makes the decisions;
//! docs/design/releases.md describes the design.

mod admission;
mod admission_policy;
mod answer_timing;
mod directed_release;
mod director;
mod director_event;
mod end_announcement;
mod engine_filter;
mod evidence_update;
mod known_order;
mod known_release;
mod listed_versions;
mod log_median;
mod order_announcement;
mod order_follower;
mod orders;
mod origin;
mod record_reader;
mod record_state;
mod recorded_grant;
mod release_update;
mod stage_log;
mod table;
mod typical_times;

pub use admission::Admission;
pub use admission_policy::AdmissionPolicy;
pub use answer_timing::{AnswerEnd, AnswerTiming};
pub use directed_release::DirectedRelease;
pub use director::run_releases;
pub use engine_filter::EngineFilter;
pub use evidence_update::{EvidenceUpdate, OrderKey, order_key};
pub use known_order::KnownOrder;
pub use known_release::KnownRelease;
pub use listed_versions::ListedVersions;
pub use log_median::LogMedian;
pub use orders::Orders;
pub use origin::{Origin, zone_reporter};
pub use record_state::RecordState;
pub use release_update::ReleaseUpdate;
pub use table::Table;
pub use typical_times::{TimedPart, TypicalTimes};
