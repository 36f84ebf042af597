//! What an engine says.

use ryerouter_core::dispatch::NotRunReason;
use ryerouter_core::identity::{AttemptId, WeightsVersion};
use ryerouter_core::prompt::BlockHash;

/// What an engine says. Outputs of one call are in the order of their happening.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineOutput {
    /// The request did not run and never will.
    Refused {
        /// The attempt.
        attempt: AttemptId,
        /// Why.
        reason: NotRunReason,
    },
    /// The request was taken; it waits or runs.
    Accepted {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Its prefill began.
    Started {
        /// The attempt.
        attempt: AttemptId,
        /// Prompt tokens found in the cache (imported ones included).
        cached_tokens: u32,
    },
    /// One chunk, which is one token, of its answer.
    Chunk {
        /// The attempt.
        attempt: AttemptId,
        /// Index of the chunk in the whole answer.
        index: u32,
    },
    /// Its answer is whole.
    Finished {
        /// The attempt.
        attempt: AttemptId,
        /// Prompt tokens.
        prompt_tokens: u32,
        /// Prompt tokens that were not computed.
        cached_tokens: u32,
        /// Tokens of the answer.
        output_tokens: u32,
    },
    /// It was cancelled.
    Cancelled {
        /// The attempt.
        attempt: AttemptId,
    },
    /// It was lost with the process.
    Lost {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A block was computed, so that prompt tokens were spent on it.
    Computed {
        /// The prefix that ends with the block.
        hash: BlockHash,
        /// Tokens of the block itself.
        tokens: u32,
    },
    /// A block entered the cache.
    Stored {
        /// The prefix that ends with the block.
        hash: BlockHash,
        /// Tokens of the block itself.
        tokens: u32,
    },
    /// A block left the cache.
    Evicted {
        /// The prefix that ends with the block.
        hash: BlockHash,
        /// Tokens of the block itself.
        tokens: u32,
    },
    /// The KV cache of a prefix was asked to be kept and can be fetched from the engine now.
    Exported {
        /// The attempt that asked.
        attempt: AttemptId,
        /// The prefix.
        prefix: BlockHash,
        /// Its tokens.
        tokens: u32,
    },
    /// Other weights serve now; the cache was emptied.
    WeightsLoaded {
        /// The version.
        weights_version: WeightsVersion,
    },
}
