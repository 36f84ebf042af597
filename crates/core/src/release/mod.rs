//! Releases: moving a pool's engines to a new version of their software.
//!
//! An operator orders a release. The engines of the target version start beside those of the present
//! one, and requests move over to them: a bounded share first, on few engines, whose answers are
//! compared with those of the present version on the same routes at the same time. A version that
//! does worse is rolled back; one that does not takes all new requests, and when nothing runs at the
//! present version's engines any more the release is completed. `docs/design/releases.md` tells who
//! decides and what each failure leads to.
//!
//! A release is not a rollout of weights ([`crate::order`]): weights change within an engine, software
//! changes with the engine.

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
pub use rollback::Rollback;
pub use settings::Settings;
pub use stage::Stage;
pub use tally::Tally;
