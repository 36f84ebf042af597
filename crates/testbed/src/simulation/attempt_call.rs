//! What a node asks of a back end.

use ryerouter_core::identity::AttemptId;

/// What a node asks of a back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptCall {
    /// The attempt.
    pub attempt: AttemptId,
    /// Index of the back end.
    pub back_end: usize,
    /// The submission.
    pub submission: u64,
    /// Tenant of the submission.
    pub tenant: String,
    /// Incarnation it must have.
    pub incarnation: Option<u64>,
    /// Weights it must serve.
    pub weights_version: Option<u64>,
    /// Cached tokens the node counts on.
    pub expected_cached_tokens: u32,
    /// Prefix chain as `(hash, end_tokens)`.
    pub chain: Vec<(u64, u32)>,
    /// Chunks of the whole answer.
    pub chunks: u64,
    /// How it begins.
    pub kind: AttemptKind,
    /// Whether it lies in the socket of a frozen back end.
    pub lies_in_socket: bool,
}

/// How an attempt begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptKind {
    /// From the start of the answer.
    Fresh,
    /// Reads an attempt the back end already runs, from a chunk on.
    Resume {
        /// The attempt that broke.
        earlier: AttemptId,
        /// Index of the next chunk.
        next_chunk: u64,
    },
    /// Continues the answer that another back end began, from a chunk on.
    Continue {
        /// Index of the next chunk.
        next_chunk: u64,
    },
}
