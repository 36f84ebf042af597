//! Why an engine has older weights than published.

use derive_more::Display;

/// Why an engine has older weights than published.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum BehindReason {
    /// It is in progress: it is asked, drained, ordered to load or loads.
    #[display("ordered")]
    Ordered,
    /// It could be ordered now, and waits for its turn.
    #[display("waiting")]
    Waiting,
    /// It may be unreachable, so it must answer a probe first.
    #[display("suspect")]
    Suspect,
    /// It refused an order, and is left alone for a moment.
    #[display("resting")]
    Resting,
    /// Its entry disappeared while the source's list was unreliable.
    #[display("unlisted")]
    Unlisted,
    /// It is shutting down, so it needs no newer weights.
    #[display("leaving")]
    Leaving,
}

impl BehindReason {
    /// All reasons.
    pub const ALL: [Self; 6] = [
        Self::Ordered,
        Self::Waiting,
        Self::Suspect,
        Self::Resting,
        Self::Unlisted,
        Self::Leaving,
    ];
}
