//! Which engines are out of reach, decided from what several nodes observed.
//!
//! A node whose connection to an engine times out tells the others. A node doubts an engine when at
//! least two nodes could not reach it and none has heard from it since. A doubt lapses by itself.
//! `docs/design/silent-engines.md` explains the rules.

mod doubt;
mod engine_view;
mod fleet;
mod hearings;
mod pending;
mod reach_change;
mod reach_news;
mod reach_record;
mod reach_table;
mod reporter;
mod sighting;
mod site;

pub use doubt::Doubt;
pub use engine_view::EngineView;
pub use fleet::Fleet;
pub use reach_change::{ReachChange, TrustCause};
pub use reach_news::ReachNews;
pub use reach_table::{DOUBT_LAPSE, ReachTable};
pub use reporter::Reporter;
pub use sighting::Sighting;
pub use site::Site;
