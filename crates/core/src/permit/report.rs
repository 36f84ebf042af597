//! Report of a node to an issuer.

use super::Number;

/// What a node holds and has returned of an engine's permits.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Report {
    /// Numbers of all permits that it holds.
    pub held: Vec<Number>,
    /// Numbers of the permits that it has returned since the last report.
    pub returned: Vec<Number>,
    /// How many of those were returned because the engine refused the request for lack of capacity.
    pub refused: u32,
}
