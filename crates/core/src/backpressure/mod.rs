//! Backpressure: what engines signal in their responses, and how many requests they may be sent accordingly.
//!
//! An overloaded engine advertises how many requests per second it accepts from all nodes together, requests a backoff
//! from one node, or signals that it is leaving. Nodes must obey each of these; they are not a cost that placement
//! weighs. An excluded engine is never sent a request, however well it scores. A [`Condition`] holds the backpressure
//! state of one engine; `docs/design/backpressure.md` explains the design.

mod condition;
mod exclusion;
mod fragility;
mod limit;
mod report;
mod share;
mod signal;

pub use condition::{Change, Condition};
pub use exclusion::{Exclusion, ExclusionReason};
pub use fragility::Fragility;
pub use limit::Limit;
pub use report::Report;
pub use share::{Position, sender_share};
pub use signal::Signal;
