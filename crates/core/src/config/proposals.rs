//! Operators' changes on their way into the log.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use crate::control::{
    ControlAction, ObjectKey, OperationId, Outbox, Precondition, StoreAnswer, StoreCall,
    StoreOwner, StoreRequestId, StoreValue,
};
use crate::identity::ConfigVersion;
use crate::timestamp::Timestamp;

use super::{
    Change, ChangeAccepted, ChangeRefusal, ConfigReplica, LogEntry, Proposal, ProposalStage,
    validate,
};

/// Operators' changes on their way into the log, one at a time.
///
/// A change at version v is written by a create-only put of slot v of the log, so of racing nodes
/// exactly one wins each slot. A write whose answer is lost is settled by reading its slot: the
/// change moves on to the next slot only when another change is known to hold this one, so it
/// takes effect at most once.
#[derive(Debug, Default)]
pub struct Proposals {
    queue: VecDeque<Proposal>,
    refreshed_at: Option<Timestamp>,
}

impl Proposals {
    /// How long an operator waits at most.
    pub const DEADLINE: Duration = Duration::from_secs(5);
    /// How many changes wait at most.
    pub const MAX_QUEUED: usize = 256;
    const BACKOFF: Duration = Duration::from_millis(200);
    /// Entries of the log stay readable for far longer than this, so a node that has seen
    /// its own version there this lately can't write into a slot that was used and deleted.
    const REFRESH_AFTER: Duration = Duration::from_secs(30);

    /// Takes a change.
    pub fn submit(
        &mut self,
        operation: OperationId,
        change: Change,
        dry_run: bool,
        replica: &mut ConfigReplica,
        now: Timestamp,
        outbox: &mut Outbox,
    ) {
        if self.queue.len() >= Self::MAX_QUEUED {
            let detail = format!("{} changes wait already", Self::MAX_QUEUED);
            answer(
                operation,
                Err(ChangeRefusal::StoreUnavailable { detail }),
                outbox,
            );
            return;
        }
        self.queue.push_back(Proposal {
            operation,
            change,
            dry_run,
            deadline: now.after(Self::DEADLINE),
            stage: ProposalStage::Queued,
            tentative: None,
            caught_up: false,
            failure: "no answer yet".to_owned(),
        });
        self.advance(replica, now, outbox);
    }

    /// Takes an answer of the object API.
    pub fn store_answered(
        &mut self,
        request: StoreRequestId,
        store_answer: StoreAnswer,
        replica: &mut ConfigReplica,
        now: Timestamp,
        outbox: &mut Outbox,
    ) {
        let Some(proposal) = self.queue.front_mut() else {
            return;
        };
        if proposal.stage.request() != Some(request) {
            return;
        }
        if let StoreAnswer::Failed(failure) = &store_answer {
            proposal.failure = failure.to_string();
            failed(proposal, now);
            self.advance(replica, now, outbox);
            return;
        }
        match proposal.stage {
            ProposalStage::Refreshing(_) => {
                if matches!(store_answer, StoreAnswer::Found(_)) {
                    proposal.stage = ProposalStage::Queued;
                    self.refreshed_at = Some(now);
                } else {
                    let request = get(ObjectKey::ConfigSnapshot, outbox);
                    proposal.stage = ProposalStage::Loading(request);
                }
            }
            ProposalStage::Loading(_) => {
                loaded(proposal, store_answer, replica);
                self.refreshed_at = Some(now);
            }
            ProposalStage::CatchingUp(_) => caught_up(proposal, store_answer, replica),
            ProposalStage::Writing(_) => written(proposal, &store_answer, replica, outbox),
            ProposalStage::Settling { taken, .. } => {
                settled(proposal, taken, store_answer, replica, now, outbox);
            }
            ProposalStage::Queued | ProposalStage::Backoff { .. } => {}
        }
        self.advance(replica, now, outbox);
    }

    /// Lets time pass.
    pub fn tick(&mut self, replica: &mut ConfigReplica, now: Timestamp, outbox: &mut Outbox) {
        self.expire(now, outbox);
        self.advance(replica, now, outbox);
    }

    /// Goes as far as possible without an answer of the object API.
    pub fn advance(&mut self, replica: &mut ConfigReplica, now: Timestamp, outbox: &mut Outbox) {
        while let Some(proposal) = self.queue.front_mut() {
            let refreshed = is_fresh(self.refreshed_at, now);
            match step(proposal, refreshed, replica, now, outbox) {
                Step::Wait => return,
                Step::Finish(result) => {
                    answer(proposal.operation, result, outbox);
                    self.queue.pop_front();
                }
            }
        }
    }

    fn expire(&mut self, now: Timestamp, outbox: &mut Outbox) {
        self.queue.retain(|proposal| {
            let expired = now >= proposal.deadline;
            if expired {
                answer(proposal.operation, Err(expiry(proposal)), outbox);
            }
            !expired
        });
    }
}

enum Step {
    Wait,
    Finish(Result<ChangeAccepted, ChangeRefusal>),
}

fn step(
    proposal: &mut Proposal,
    refreshed: bool,
    replica: &ConfigReplica,
    now: Timestamp,
    outbox: &mut Outbox,
) -> Step {
    if let Some(result) = earlier_result(proposal, replica) {
        return Step::Finish(result);
    }
    if is_waiting(proposal, now) {
        return Step::Wait;
    }
    if let Some(entry) = proposal.tentative.take()
        && entry.version > replica.version()
    {
        settle(proposal, entry, false, outbox);
        return Step::Wait;
    }
    // Otherwise the slot went to another change: a write of this one had no effect and never will.
    if !refreshed && !proposal.dry_run {
        // Old entries go in order, so while this node's own version is there, so are all after it.
        let request = get(ObjectKey::ConfigLog(replica.version()), outbox);
        proposal.stage = ProposalStage::Refreshing(request);
        return Step::Wait;
    }
    match validate(replica, &proposal.change, now) {
        Ok(entry) if proposal.dry_run => Step::Finish(Ok(ChangeAccepted {
            version: entry.version,
            dry_run: true,
            repeated: false,
        })),
        Ok(entry) => {
            write(proposal, Arc::new(entry), outbox);
            Step::Wait
        }
        Err(refusal) if proposal.caught_up => Step::Finish(Err(refusal)),
        Err(_) => {
            // The operator may have seen a newer configuration at another node.
            let next = ObjectKey::ConfigLog(replica.version().next());
            proposal.stage = ProposalStage::CatchingUp(get(next, outbox));
            Step::Wait
        }
    }
}

fn is_fresh(refreshed_at: Option<Timestamp>, now: Timestamp) -> bool {
    refreshed_at.is_some_and(|at| now.since(at) < Proposals::REFRESH_AFTER)
}

fn is_waiting(proposal: &Proposal, now: Timestamp) -> bool {
    match proposal.stage {
        ProposalStage::Queued => false,
        ProposalStage::Backoff { until } => now < until,
        _ => true,
    }
}

/// The result of this change id when it is in the log already: by an earlier call, or by a write
/// of this call that was seen otherwise than by its answer.
fn earlier_result(
    proposal: &Proposal,
    replica: &ConfigReplica,
) -> Option<Result<ChangeAccepted, ChangeRefusal>> {
    let recent = replica.recent_change(&proposal.change.change_id)?;
    let version = recent.version;
    let same = replica
        .entry_at(version)
        .is_none_or(|entry| entry.change == proposal.change);
    if !same {
        return Some(Err(ChangeRefusal::ChangeIdReused { version }));
    }
    Some(Ok(ChangeAccepted {
        version,
        dry_run: proposal.dry_run,
        repeated: !wrote(proposal, version),
    }))
}

fn wrote(proposal: &Proposal, version: ConfigVersion) -> bool {
    proposal
        .tentative
        .as_ref()
        .is_some_and(|entry| entry.version == version)
}

fn failed(proposal: &mut Proposal, now: Timestamp) {
    if matches!(proposal.stage, ProposalStage::CatchingUp(_)) {
        // A refusal on this node's own knowledge is still true: nothing was written.
        proposal.caught_up = true;
        proposal.stage = ProposalStage::Queued;
        return;
    }
    proposal.stage = ProposalStage::Backoff {
        until: now.after(Proposals::BACKOFF),
    };
}

fn loaded(proposal: &mut Proposal, store_answer: StoreAnswer, replica: &mut ConfigReplica) {
    proposal.stage = ProposalStage::Queued;
    if let StoreAnswer::Found(object) = store_answer
        && let StoreValue::ConfigSnapshot(checkpoint) = object.value
    {
        replica.adopt(&checkpoint);
    }
}

fn caught_up(proposal: &mut Proposal, store_answer: StoreAnswer, replica: &mut ConfigReplica) {
    proposal.stage = ProposalStage::Queued;
    match entry_of(store_answer) {
        Some(entry) => {
            replica.append(&entry);
        }
        None => proposal.caught_up = true,
    }
}

fn written(
    proposal: &mut Proposal,
    store_answer: &StoreAnswer,
    replica: &mut ConfigReplica,
    outbox: &mut Outbox,
) {
    let Some(entry) = proposal.tentative.clone() else {
        return;
    };
    if matches!(store_answer, StoreAnswer::Written { .. }) {
        replica.append(&entry);
        proposal.stage = ProposalStage::Queued;
    } else {
        settle(proposal, entry, true, outbox);
    }
}

fn settled(
    proposal: &mut Proposal,
    taken: bool,
    store_answer: StoreAnswer,
    replica: &mut ConfigReplica,
    now: Timestamp,
    outbox: &mut Outbox,
) {
    proposal.stage = ProposalStage::Queued;
    if let Some(entry) = entry_of(store_answer) {
        proposal.caught_up = false;
        replica.append(&entry);
        return;
    }
    if taken {
        // A stale read does not show what holds the slot.
        proposal.stage = ProposalStage::Backoff {
            until: now.after(Proposals::BACKOFF),
        };
        return;
    }
    // The slot is empty: write the same entry again. If the first write is only late, the two meet
    // in this slot and either shows the same change.
    if let Some(entry) = proposal.tentative.clone() {
        write(proposal, entry, outbox);
    }
}

fn settle(proposal: &mut Proposal, entry: Arc<LogEntry>, taken: bool, outbox: &mut Outbox) {
    let request = get(ObjectKey::ConfigLog(entry.version), outbox);
    proposal.tentative = Some(entry);
    proposal.stage = ProposalStage::Settling { request, taken };
}

fn write(proposal: &mut Proposal, entry: Arc<LogEntry>, outbox: &mut Outbox) {
    let call = StoreCall::Put {
        key: ObjectKey::ConfigLog(entry.version),
        value: StoreValue::ConfigEntry(Arc::clone(&entry)),
        precondition: Precondition::Absent,
    };
    let request = outbox.store(StoreOwner::Proposals, call);
    proposal.tentative = Some(entry);
    proposal.stage = ProposalStage::Writing(request);
}

fn get(key: ObjectKey, outbox: &mut Outbox) -> StoreRequestId {
    outbox.store(StoreOwner::Proposals, StoreCall::Get { key })
}

fn entry_of(store_answer: StoreAnswer) -> Option<Arc<LogEntry>> {
    match store_answer {
        StoreAnswer::Found(object) => match object.value {
            StoreValue::ConfigEntry(entry) => Some(entry),
            _ => None,
        },
        _ => None,
    }
}

fn expiry(proposal: &Proposal) -> ChangeRefusal {
    let detail = proposal.failure.clone();
    if proposal.tentative.is_some() {
        ChangeRefusal::OutcomeUnknown { detail }
    } else {
        ChangeRefusal::StoreUnavailable { detail }
    }
}

fn answer(
    operation: OperationId,
    result: Result<ChangeAccepted, ChangeRefusal>,
    outbox: &mut Outbox,
) {
    outbox.push(ControlAction::AnswerOperator {
        operation,
        answer: result,
    });
}
