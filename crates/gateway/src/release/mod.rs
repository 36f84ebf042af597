//! What a node knows and does of releases of engine software; the decisions are in
//! [`ryerouter_core::release`], the account in docs/design/releases.md.

mod course;
mod director;
mod director_event;
mod ends;
mod evidence_news;
mod known_order;
mod known_release;
mod order_follower;
mod orders;
mod record_reader;
mod record_state;
mod recorded_grant;
mod release_news;
mod stage_log;
mod table;

pub use course::Course;
pub use director::run_releases;
pub use evidence_news::{EvidenceNews, OrderKey, order_key};
pub use known_order::KnownOrder;
pub use known_release::KnownRelease;
pub use orders::Orders;
pub use record_state::RecordState;
pub use release_news::ReleaseNews;
pub use table::Table;
