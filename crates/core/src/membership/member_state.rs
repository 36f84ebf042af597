//! Whether a node lives.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// What is believed of a node. Of two beliefs about the same incarnation the later one here wins.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display,
)]
pub enum MemberState {
    /// It answers.
    #[serde(rename = "a")]
    #[display("alive")]
    Alive,
    /// It may have failed; it can still refute that with a higher incarnation.
    #[serde(rename = "s")]
    #[display("suspect")]
    Suspect,
    /// It failed.
    #[serde(rename = "f")]
    #[display("failed")]
    Failed,
    /// It said that it stops.
    #[serde(rename = "l")]
    #[display("left")]
    Left,
}
