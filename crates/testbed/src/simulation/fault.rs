//! Faults that a run brings about.

use std::time::Duration;

use super::NetworkCut;

/// A fault. Those that last are taken back when their time is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A back end dies and comes back empty after the duration.
    BackEndCrash {
        /// Index of the back end.
        back_end: usize,
        /// Time it stays away.
        away: Duration,
    },
    /// A back end neither reads nor emits.
    BackEndFreeze {
        /// Index of the back end.
        back_end: usize,
    },
    /// A back end is drained by an operator, finishes its work, restarts and is taken back.
    BackEndPlannedStop {
        /// Index of the back end.
        back_end: usize,
    },
    /// A router process dies and starts again after the duration.
    NodeCrash {
        /// Index of the process.
        node: usize,
        /// Time it stays away.
        away: Duration,
    },
    /// Every router process dies at once; all start again after the duration.
    NodeHerd {
        /// Time they stay away.
        away: Duration,
    },
    /// A router process is asked to stop; it starts again when it has stopped.
    NodePlannedStop {
        /// Index of the process.
        node: usize,
    },
    /// A router process does nothing, then goes on.
    NodePause {
        /// Index of the process.
        node: usize,
        /// How long.
        pause: Duration,
    },
    /// The node that directs engines does nothing, then goes on.
    DirectorPause {
        /// How long.
        pause: Duration,
    },
    /// A cut of the network.
    Cut(NetworkCut),
    /// Datagrams are lost, doubled and reordered far more often.
    PoorNetwork,
    /// The platform takes no calls.
    StoreDown,
    /// The platform answers after the delay.
    StoreSlow(Duration),
    /// The platform carries out writes and loses the answers.
    StoreAnswersLost,
    /// Reads show an older state.
    StoreStaleReads,
    /// Watches end because their revision is gone.
    WatchGap,
    /// Two operators change the same resource at two nodes at once.
    OperatorRace,
    /// New weights for the model pool: the configuration asks, engines load one by one.
    Rollout,
    /// The prefixes that most requests share change at once.
    HotPrefixShift,
}
