//! Where a broken stream goes on.

use crate::identity::AttemptId;

/// Where a broken stream goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResumePoint {
    /// The same incarnation still holds the attempt: ask it for the chunks from this index.
    SameEngine {
        /// The attempt that broke.
        attempt: AttemptId,
        /// Index of the next chunk.
        next_chunk: u64,
    },
    /// Another engine continues from the prompt and what the caller already has.
    Continue {
        /// Chunks the caller already has.
        delivered_chunks: u64,
    },
}
