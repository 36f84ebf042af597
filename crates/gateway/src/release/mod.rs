//! What a node knows and does of releases of engine software; the decisions are in
//! [`ryerouter_core::release`], the account in docs/design/releases.md.

mod admission;
mod answer_timing;
mod course;
mod director;
mod director_event;
mod ends;
mod engine_filter;
mod evidence_news;
mod gate;
mod heard_orders;
mod known_order;
mod known_release;
mod listed_versions;
mod log_median;
mod order_follower;
mod orders;
mod origin;
mod paces;
mod record_reader;
mod record_state;
mod recorded_grant;
mod release_news;
mod stage_log;
mod table;

pub use admission::Admission;
pub use answer_timing::{AnswerEnd, AnswerTiming};
pub use course::Course;
pub use director::run_releases;
pub use engine_filter::EngineFilter;
pub use evidence_news::{EvidenceUpdate, OrderKey, order_key};
pub use gate::Gate;
pub use known_order::KnownOrder;
pub use known_release::KnownRelease;
pub use listed_versions::ListedVersions;
pub use log_median::LogMedian;
pub use orders::Orders;
pub use origin::{Origin, zone_reporter};
pub use paces::{Paces, TimedPart};
pub use record_state::RecordState;
pub use release_news::ReleaseUpdate;
pub use table::Table;
