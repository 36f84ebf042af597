//! Events that change the health of an engine.

use crate::timestamp::Timestamp;

/// Event that changes the health of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthEvent {
    /// The engine sent a response.
    Answered,
    /// The engine sent the head of a response.
    HeadReceived,
    /// The engine could not be reached.
    Unreachable {
        /// When the attempt failed.
        at: Timestamp,
    },
    /// The engine closed the connection early or sent no response.
    Failed {
        /// When the attempt failed.
        at: Timestamp,
    },
    /// The engine sent the head of a response, and then bytes that are no response.
    Malformed {
        /// When the attempt failed.
        at: Timestamp,
    },
    /// An attempt was sent to probe the engine.
    ProbeSent {
        /// When it was sent.
        at: Timestamp,
    },
    /// The probe ended without a result.
    ProbeInconclusive {
        /// When the probe ended.
        at: Timestamp,
    },
    /// Another process answered at the engine's address, so the health of the previous process no
    /// longer applies.
    Restarted,
    /// Other nodes could not reach the engine.
    Doubted {
        /// When this became known.
        at: Timestamp,
        /// When a request may probe it.
        probe_at: Timestamp,
    },
    /// The engine is no longer doubted for what other nodes told.
    Trusted {
        /// When this became known.
        at: Timestamp,
    },
}
