//! How an engine misbehaves.

use super::StreamFault;

/// How an engine misbehaves; the default is not at all.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineFaults {
    /// What goes wrong with streams.
    pub stream: Option<StreamFault>,
    /// Of a thousand streams, how many it goes wrong with.
    pub stream_permille: u16,
    /// Answers name another attempt than they were asked for.
    pub wrong_attempt: bool,
    /// Of a thousand cache events, how many are never told.
    pub lost_events_permille: u16,
}
