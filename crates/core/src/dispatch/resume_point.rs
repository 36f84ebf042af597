//! Where an interrupted stream resumes.

use crate::identity::AttemptId;

/// Where an interrupted stream resumes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResumePoint {
    /// The same incarnation still has the attempt; request the remaining chunks from it.
    SameEngine {
        /// The interrupted attempt.
        attempt: AttemptId,
        /// Index of the next chunk.
        next_chunk: u64,
    },
    /// Another engine continues from the prompt and the chunks already delivered.
    Continue {
        /// Chunks already delivered to the caller.
        delivered_chunks: u64,
    },
}
