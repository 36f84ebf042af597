//! Messages of the claim protocol.

use derive_more::From;
use serde::{Deserialize, Serialize};

use super::{ClaimRelease, ClaimVote, EpochConfirmation, RecordsPage, RecordsRequest, VoteRequest};

/// A message from or to a keeper. The other side is a claiming process, another keeper or the
/// planner.
#[derive(Debug, Clone, PartialEq, Eq, From, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimMessage {
    /// To a keeper: requests a vote on a claim.
    Ask(VoteRequest),
    /// From a keeper: its vote.
    Vote(ClaimVote),
    /// To a keeper: releases a claim.
    #[from(skip)]
    Release(ClaimRelease),
    /// From a keeper: acknowledges a release.
    #[from(skip)]
    Released(ClaimRelease),
    /// To a keeper: requests a page of its records.
    #[from(skip)]
    AskMemory(RecordsRequest),
    /// From a keeper: a page of its records.
    #[from(skip)]
    Memory(RecordsPage),
    /// To a keeper: requests confirmation that it no longer votes in earlier epochs of the group.
    #[from(skip)]
    ConfirmEpoch(EpochConfirmation),
    /// From a keeper: confirms that it no longer votes in earlier epochs of the group.
    #[from(skip)]
    EpochConfirmed(EpochConfirmation),
}
