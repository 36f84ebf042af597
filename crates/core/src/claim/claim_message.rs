//! Messages between claiming processes and keepers.

use derive_more::From;
use serde::{Deserialize, Serialize};

use super::{ClaimRelease, ClaimVote, EpochConfirmation, RecordsPage, RecordsRequest, VoteRequest};

/// A message between a claiming process and a keeper.
#[derive(Debug, Clone, PartialEq, Eq, From, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimMessage {
    /// To a keeper: vote on a claim.
    Ask(VoteRequest),
    /// From a keeper: its vote.
    Vote(ClaimVote),
    /// To a keeper: give a key back.
    #[from(skip)]
    Release(ClaimRelease),
    /// From a keeper: the key is given back.
    #[from(skip)]
    Released(ClaimRelease),
    /// To a keeper: a part of its memory is wanted.
    #[from(skip)]
    AskMemory(RecordsRequest),
    /// From a keeper: a part of its memory.
    #[from(skip)]
    Memory(RecordsPage),
    /// To a keeper: confirm that no epoch of the group before this one is answered any more.
    #[from(skip)]
    ConfirmEpoch(EpochConfirmation),
    /// From a keeper: it is so.
    #[from(skip)]
    EpochConfirmed(EpochConfirmation),
}
