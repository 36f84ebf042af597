//! A log entry kept for peers.

use std::sync::Arc;

use super::LogEntry;

/// A log entry kept for peers that are a little behind.
#[derive(Debug, Clone)]
pub struct ReplicaEntry {
    /// The entry.
    pub entry: Arc<LogEntry>,
    /// Its length in bytes as JSON.
    pub encoded_length: usize,
}
