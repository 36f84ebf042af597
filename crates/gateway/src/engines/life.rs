//! The lives of engines.

use ryerouter_core::identity::Incarnation;

/// Which life of an engine something is about, beside the one that is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ToldLife {
    /// The same; also where either is not known.
    Same,
    /// It has begun again.
    Later,
    /// It has begun again since.
    Former,
}

impl ToldLife {
    /// What is told of the life `told`, where `known` is.
    ///
    /// An entry that another node hands on may lack it, so nothing follows from that.
    pub fn new(known: Option<Incarnation>, told: Option<Incarnation>) -> Self {
        match (known, told) {
            (Some(known), Some(told)) if told > known => Self::Later,
            (Some(known), Some(told)) if told < known => Self::Former,
            _ => Self::Same,
        }
    }
}
