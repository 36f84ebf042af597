//! The lives of engines.

use ryerouter_core::identity::Incarnation;

/// Which life of an engine something is about, beside the one that is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IncarnationOrder {
    /// The same; also where either is not known.
    Same,
    /// It has begun again.
    Newer,
    /// It has begun again since.
    Older,
}

impl IncarnationOrder {
    /// What is told of the life `reported`, where `known` is.
    ///
    /// An entry that another node hands on may lack it, so nothing follows from that.
    pub fn new(known: Option<Incarnation>, reported: Option<Incarnation>) -> Self {
        match (known, reported) {
            (Some(known), Some(reported)) if reported > known => Self::Newer,
            (Some(known), Some(reported)) if reported < known => Self::Older,
            _ => Self::Same,
        }
    }
}
