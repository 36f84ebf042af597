//! What a node tells others of the engines that it reaches.

use super::Sighting;

/// What a node tells others of the engines that it reaches.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReachNews {
    /// Whether the node reaches enough engines for its failures to tell something. If not, what it told
    /// before is void as well.
    pub is_credible: bool,
    /// Engines that it could not reach.
    pub unreached: Vec<Sighting>,
    /// Engines that it heard from after others could not reach them.
    pub heard: Vec<Sighting>,
}
