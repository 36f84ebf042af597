//! A request of a plain policy.

use std::collections::BTreeSet;

use ryerouter_core::dispatch::RequestProfile;

/// A request of a plain policy, from arrival to outcome.
#[derive(Debug)]
pub(super) struct DirectRequest {
    /// The router process.
    pub node: usize,
    /// The request.
    pub profile: RequestProfile,
    /// Attempts made.
    pub attempts: u32,
    /// Back ends that failed it.
    pub failed: BTreeSet<usize>,
    /// Chunks the caller has.
    pub delivered_chunks: u64,
    /// Whether an attempt may have run.
    pub may_have_run: bool,
}
