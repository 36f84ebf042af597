//! What a node knows and does of releases of engine software; the decisions are in
//! [`ryerouter_core::release`], the account in docs/design/releases.md.

mod evidence_news;
mod known_release;
mod release_news;
mod table;

pub use evidence_news::{EvidenceNews, OrderKey, order_key};
pub use known_release::KnownRelease;
pub use release_news::ReleaseNews;
pub use table::Table;
