//! Permits of engines that withstand few refusals: what this node holds, issues and waits for.
//!
//! [`ryerouter_core::permit`] decides who gets one; see docs/design/permits.md.

mod answer;
mod ask;
mod held;
mod issued;
mod outcome;
mod permit;
mod report;
mod returns;
mod table;

pub use answer::Answer;
pub use ask::Ask;
pub use held::Held;
pub use issued::Issued;
pub use outcome::Outcome;
pub use permit::Permit;
pub use report::Report;
pub use returns::{Return, Returns};
pub use table::Table;
