//! Releases: moving a pool's requests to engines with a new version of their software.
//!
//! An operator orders a release. Engines of the target version start next to those of the present
//! version, and requests move over to them. At first, a bounded share of the requests goes to a few
//! engines of the target version, whose answers are compared with those of the present version on
//! the same routes at the same time. If the target version does worse, it is rolled back. Otherwise
//! it gets all new requests, and the release is completed when no requests are left on the engines
//! of the present version.
//!
//! One node, the director, holds the lease for the release, decides on its stages and sends grants
//! to the other nodes. `docs/design/releases.md` describes this and the effects of each failure.
//!
//! A release differs from a rollout of weights ([`crate::order`]): weights are replaced within a
//! running engine, while new software needs a new engine process.

mod baseline;
mod budget;
mod comparison;
mod count_key;
mod counts;
mod cumulative_sum;
mod evidence;
mod exposure;
mod fleet;
mod grant;
mod judgement;
mod order;
mod progress;
mod recent_answers;
mod record;
mod rejected_versions;
mod rollback;
mod settings;
mod stage;
mod tally;

pub use baseline::Baseline;
pub use budget::Budget;
pub use comparison::Comparison;
pub use count_key::{CountKey, EngineKey, PRESENT, RouteKey, key_of};
pub use counts::Counts;
pub use evidence::{Evidence, Reporter};
pub use exposure::{Exposure, Window};
pub use fleet::Fleet;
pub use grant::Grant;
pub use judgement::Judgement;
pub use order::{Order, SoftwareVersion};
pub use progress::Progress;
pub use record::{Outcome, Record};
pub use rejected_versions::RejectedVersions;
pub use rollback::Rollback;
pub use settings::Settings;
pub use stage::Stage;
pub use tally::Tally;
