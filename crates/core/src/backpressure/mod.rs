//! What engines say of themselves in their answers, and how much they may be sent by that.
//!
//! An engine in need names how many requests a second it takes from all nodes together, asks a node for rest, or says
//! that it leaves. Each of these is a promise to the engine and no price: what it bars is never sent, however good the
//! engine looks. A [`Condition`] holds what is known of one engine; `docs/design/backpressure.md` has the reasons.

mod condition;
mod exclusion;
mod limit;
mod report;
mod sender_share;
mod signal;

pub use condition::{Change, Condition};
pub use exclusion::{Exclusion, ExclusionReason};
pub use limit::Limit;
pub use report::Report;
pub use sender_share::{SenderPosition, sender_share};
pub use signal::Signal;
