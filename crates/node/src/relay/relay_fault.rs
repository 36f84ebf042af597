//! Faults of a back end's stream.

use derive_more::{Display, Error, From};

/// Why a back end's stream cannot be read on; the attempt has broken off.
#[derive(Debug, Display, Error, From)]
pub enum RelayFault {
    /// The connection failed.
    #[display("connection failed: {source}")]
    Connection {
        /// The cause.
        source: hyper::Error,
    },
    /// The stream ended before its end mark.
    #[display("stream ended early")]
    Truncated,
    /// Nothing arrived for too long.
    #[display("stream went silent")]
    Silent,
    /// An event is larger than allowed.
    #[display("event larger than {limit} bytes")]
    #[from(skip)]
    EventTooLarge {
        /// The limit.
        limit: usize,
    },
    /// An event has data but no index.
    #[display("event without an index")]
    MissingIndex,
    /// Events are missing.
    #[display("chunk {expected} is missing")]
    #[from(skip)]
    Gap {
        /// The next chunk that is due.
        expected: u64,
    },
    /// The end mark came before the chunk with the usage counts.
    #[display("stream ended without usage counts")]
    MissingUsage,
}

impl RelayFault {
    /// Its name in metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Connection { .. } => "connection",
            Self::Truncated => "truncated",
            Self::Silent => "silent",
            Self::EventTooLarge { .. } => "event_too_large",
            Self::MissingIndex => "missing_index",
            Self::Gap { .. } => "gap",
            Self::MissingUsage => "missing_usage",
        }
    }
}
