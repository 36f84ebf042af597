//! Crashes and trials of one request.

use std::time::Duration;

use super::{Crash, Verdict};
use crate::Timestamp;

/// Number of separate crashes after which a request is blocked. Two may be a coincidence where engines crash for other
/// reasons.
const CRASHES_TO_BLOCK: usize = 3;
/// Number of separate crashes after which a request that succeeded recently is blocked. Its crashes were probably
/// caused by another request that ran beside it, unless the engines have run other weights or other software since.
const CRASHES_TO_BLOCK_AFTER_SUCCESS: usize = 9;
/// How long before the first crash a success still counts as recent.
const SUCCESS_RETENTION: Duration = Duration::from_secs(600);
/// Time for a block to reach all nodes. Runs that began this soon after the blocking crash were sent by nodes that did
/// not know of the block yet.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Delays before trials of a blocked request whose crashes may have another cause, indexed by the number of trials, as
/// long as no trial has crashed an engine. An early trial unblocks a request that only ran beside the one that crashed
/// the engines. A trial can be inconclusive, for example when the caller disconnects, so there is a second one.
const FIRST_TRIAL_DELAYS: [Duration; 2] = [Duration::from_secs(5), Duration::from_secs(10)];
/// Delays before all other trials, indexed by the number of engines that trials have crashed. These trials find out
/// whether engines with other weights or other software can run the request. Each may cost an engine, so there are no
/// more after the last.
const TRIAL_DELAYS: [Duration; 3] = [
    Duration::from_secs(600),
    Duration::from_secs(600),
    Duration::from_secs(86_400),
];
/// How long the history of a blocked request is kept after its last crash or trial. All nodes drop it at about the same
/// time. This is one day more than the longest trial delay; by then the engines have most likely been replaced.
const BLOCKED_RETENTION: Duration = Duration::from_secs(2 * 86_400);
/// How long the history of a request that is not blocked is kept after its last crash, trial or success.
const SUSPECT_RETENTION: Duration = Duration::from_secs(3_600);
/// When two requests were both running at this many or more of the same crashes, either may have caused them.
const MIN_SHARED_CRASHES: usize = 2;
/// Maximum number of crashes that do not count.
const MAX_UNCOUNTED: usize = 16;
/// Maximum number of crashes kept per request. It bounds unproven crashes and those after the last trial, which only
/// isolated nodes add.
const MAX_CRASHES: usize = CRASHES_TO_BLOCK_AFTER_SUCCESS + 2 * TRIAL_DELAYS.len();

/// Crashes and trials of one request.
///
/// Nodes exchange their histories, and each node merges those it receives into its own. The merge does not depend on
/// the order of the histories or on how often each one is merged.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct History {
    /// Crashes in order of time, each separate from the one before. After the crash that blocked the request, only
    /// crashes of runs that began more than `PROPAGATION_TIME` later are kept.
    pub crashes: Vec<Crash>,
    /// Crashes that do not count, since their runs began before all nodes knew that the request is blocked. They explain the
    /// crashes of what ran beside them.
    pub uncounted: Vec<Crash>,
    /// When a run last succeeded. Earlier crashes are not evidence against the request.
    pub last_success_at: Option<Timestamp>,
    /// Number of trials started.
    pub trials: u32,
    /// When the last trial started.
    pub last_trial_at: Option<Timestamp>,
}

impl History {
    /// Adds a crash; returns `false` when the history does not change.
    pub fn record_crash(&mut self, crash: Crash) -> bool {
        if self.last_success_at >= Some(crash.ended) {
            return false;
        }
        let before = self.crashes.clone();
        let known = self
            .crashes
            .iter()
            .position(|known| known.is_same_incarnation(&crash));
        if let Some(index) = known {
            if crash.is_unproven || !self.crashes[index].is_unproven {
                return false;
            }
            // Another node knows that the engine had not crashed before the run.
            self.crashes.remove(index);
        }
        self.crashes.push(crash.clone());
        self.normalize();
        self.crashes != before || self.record_uncounted(crash)
    }

    /// Keeps a crash that does not count although the request is blocked; returns `false` when it is known.
    fn record_uncounted(&mut self, crash: Crash) -> bool {
        let is_new = self.is_blocked() && !self.holds(&crash);
        let has_room = self.uncounted.len() < MAX_UNCOUNTED;
        if is_new && has_room {
            self.uncounted.push(crash);
        }
        is_new && has_room
    }

    /// Whether the crash of this incarnation of an engine is already recorded.
    pub fn holds(&self, crash: &Crash) -> bool {
        let mut known = self.crashes.iter().chain(&self.uncounted);
        known.any(|known| known.is_same_incarnation(crash))
    }

    /// Records a successful run; returns `false` when this removes no crash.
    pub fn record_success(&mut self, at: Timestamp) -> bool {
        if self.last_success_at >= Some(at) {
            return false;
        }
        self.last_success_at = Some(at);
        let count = self.crashes.len();
        self.crashes.retain(|crash| crash.ended > at);
        let has_changed = self.crashes.len() < count;
        if self.crashes.is_empty() {
            self.uncounted.clear();
            self.trials = 0;
            self.last_trial_at = None;
        }
        has_changed
    }

    /// Removes crashes that turned out not to have happened; returns how many were removed.
    pub fn remove_crashes(&mut self, is_refuted: impl Fn(&Crash) -> bool) -> usize {
        let count = self.crashes.len();
        self.crashes.retain(|crash| !is_refuted(crash));
        count - self.crashes.len()
    }

    /// Merges the history of another node; returns `false` when crashes and trials stay the same.
    pub fn merge(&mut self, other: &Self) -> bool {
        let mut has_changed = other
            .last_success_at
            .is_some_and(|at| self.record_success(at));
        if !self.is_blocked()
            && other.is_blocked()
            && self.last_success_at < other.crashes.last().map(|crash| crash.ended)
        {
            // Replaces the crashes instead of merging them: the node that blocked the request knows the relative
            // times of its crashes best.
            self.crashes.clone_from(&other.crashes);
            let last_success_at = self.last_success_at;
            self.crashes
                .retain(|crash| last_success_at < Some(crash.ended));
            has_changed = true;
        }
        for crash in other.crashes.iter().chain(&other.uncounted) {
            has_changed |= self.record_crash(crash.clone());
        }
        if !self.crashes.is_empty() {
            has_changed |= self.trials < other.trials;
            self.trials = self.trials.max(other.trials);
            self.last_trial_at = self.last_trial_at.max(other.last_trial_at);
        }
        has_changed
    }

    /// Whether enough engines have crashed separately to block the request.
    pub fn is_blocked(&self) -> bool {
        self.blocked_at().is_some()
    }

    /// Number of known crashes, whether they count or not.
    pub fn crash_count(&self) -> usize {
        self.crashes.len() + self.uncounted.len()
    }

    /// Whether the crashes that are not explained otherwise suffice to block the request.
    pub fn is_blocked_without(&self, is_explained: impl Fn(&Crash) -> bool) -> bool {
        let unexplained = self.proven().filter(|crash| !is_explained(crash));
        unexplained.count() >= self.crashes_to_block()
    }

    /// Whether one more crash would block the request.
    pub fn is_nearly_blocked(&self) -> bool {
        self.proven().count() + 1 >= self.crashes_to_block()
    }

    /// Time of the crash that blocked the request.
    pub fn blocked_at(&self) -> Option<Timestamp> {
        let last = self.proven().nth(self.crashes_to_block() - 1)?;
        Some(last.ended)
    }

    fn crashes_to_block(&self) -> usize {
        match self.succeeded_recently() {
            true => CRASHES_TO_BLOCK_AFTER_SUCCESS,
            false => CRASHES_TO_BLOCK,
        }
    }

    /// Crashes of engines that were known to be running when the run began.
    fn proven(&self) -> impl DoubleEndedIterator<Item = &Crash> {
        self.crashes.iter().filter(|crash| !crash.is_unproven)
    }

    /// Whether a run may have reached an engine that had crashed before.
    pub fn has_doubtful_crash(&self) -> bool {
        self.crashes.iter().any(Crash::is_doubtful)
    }

    /// Whether the request may be sent to an engine. `is_ambiguous` states that the crashes may have another cause,
    /// such as a request that ran beside this one.
    pub fn verdict(&self, is_ambiguous: bool, now: Timestamp) -> Verdict {
        let Some(blocked_at) = self.blocked_at() else {
            return Verdict::Allowed;
        };
        let trial_delay = self.trial_delay(blocked_at, is_ambiguous);
        let last = self.crashes.iter().map(|crash| crash.ended).max();
        let since = last.max(self.last_trial_at).unwrap_or(blocked_at);
        let Some(due) = trial_delay.map(|trial_delay| since.after(trial_delay)) else {
            let retry_after = TRIAL_DELAYS[TRIAL_DELAYS.len() - 1];
            return Verdict::Refused { retry_after };
        };
        match now >= due {
            true => Verdict::Trial,
            false => Verdict::Refused {
                retry_after: due.since(now),
            },
        }
    }

    /// Whether the request succeeded shortly before its first crash.
    fn succeeded_recently(&self) -> bool {
        let first = self.crashes.first();
        let success = self.last_success_at.zip(first);
        success.is_some_and(|(at, first)| first.ended.since(at) < SUCCESS_RETENTION)
    }

    /// Whether another request was running at several of the same crashes.
    pub fn shares_crashes(&self, other: &Self) -> bool {
        let shared = self.crashes.iter().filter(|crash| other.holds(crash));
        shared.count() >= MIN_SHARED_CRASHES
    }

    /// Time from the start of a run to the crash of its engine, the shortest one.
    pub fn shortest_run(&self) -> Option<Duration> {
        let runs = self.crashes.iter();
        runs.map(|crash| crash.ended.since(crash.began)).min()
    }

    /// Time of the last crash, trial or success.
    pub fn last_event(&self) -> Option<Timestamp> {
        let ended = self.crashes.iter().map(|crash| crash.ended).max();
        ended.max(self.last_trial_at).max(self.last_success_at)
    }

    /// Whether the last event is so long ago that the history can be dropped.
    ///
    /// The decision depends only on times that nodes exchange, so a node that still has the history does not send it
    /// back to those that dropped it.
    pub fn is_expired(&self, now: Timestamp) -> bool {
        let limit = match self.is_blocked() {
            true => BLOCKED_RETENTION,
            false => SUSPECT_RETENTION,
        };
        let last = self.last_event();
        last.is_some_and(|at| now.since(at) > limit)
    }

    /// Whether this history contains something that `other` lacks.
    pub fn has_updates_for(&self, other: &Self) -> bool {
        other.clone().merge(self)
    }

    /// Records the start of a trial.
    pub fn begin_trial(&mut self, now: Timestamp) {
        self.trials += 1;
        self.last_trial_at = Some(now);
    }

    /// Delay before the next trial; `None` when there are no more trials.
    fn trial_delay(&self, blocked_at: Timestamp, is_ambiguous: bool) -> Option<Duration> {
        let since = blocked_at.after(PROPAGATION_TIME);
        let trial_crashes = self.crashes.iter().filter(|crash| crash.began > since);
        let first = FIRST_TRIAL_DELAYS.get(self.trials as usize);
        let first = first.filter(|_| is_ambiguous);
        match trial_crashes.count() {
            0 => first.or(TRIAL_DELAYS.first()).copied(),
            count => TRIAL_DELAYS.get(count).copied(),
        }
    }

    /// Sorts the crashes by time and drops those that are not separate from the one before. After the crash that
    /// blocked the request, keeps those of runs that began more than `PROPAGATION_TIME` later. `MAX_CRASHES` bounds all
    /// but the proven crashes that lead to the block.
    fn normalize(&mut self) {
        let mut crashes = std::mem::take(&mut self.crashes);
        crashes.sort_by_key(|crash| crash.ended);
        for crash in crashes {
            let is_kept = match self.blocked_at() {
                Some(at) => {
                    crash.began > at.after(PROPAGATION_TIME) && self.crashes.len() < MAX_CRASHES
                }
                None if crash.is_unproven => {
                    let is_separate = self
                        .crashes
                        .last()
                        .is_none_or(|last| crash.is_separate_from(last));
                    is_separate && self.crashes.len() < MAX_CRASHES
                }
                None => self
                    .proven()
                    .next_back()
                    .is_none_or(|last| crash.is_separate_from(last)),
            };
            if is_kept {
                self.crashes.push(crash);
            }
        }
    }
}
