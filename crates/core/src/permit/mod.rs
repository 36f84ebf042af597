//! Permits: how many requests all nodes together may have at an engine that must not be overfilled.
//!
//! An engine that says it withstands few refusals is sent a request only with a permit. One node issues all permits of
//! an engine, so their number never exceeds what the engine holds, however many nodes there are. Requests that find
//! none wait at the issuer, not at the engine. `docs/design/permits.md` explains the design.

mod answer;
mod ask;
mod hold_time;
mod holdings;
mod issuer;
mod report;
mod window;

pub use answer::Answer;
pub use ask::{Ask, Number};
pub use issuer::Issuer;
pub use report::Report;
pub use window::Window;
