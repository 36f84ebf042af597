//! How current an answer of the source must be.

/// How current an answer of the source must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Consistency {
    /// As of a moment after the question was sent, so that the answer proves what is current.
    Linearizable,
    /// Possibly some seconds old. It proves nothing, but costs the source little, and a watch from
    /// its revision brings what it lacks.
    Stale,
}
