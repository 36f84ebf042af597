//! What is known of one request under which engines ended.

use std::time::Duration;

use super::{Crash, Verdict};
use crate::Timestamp;

/// Engines that ended one after the other under a request: two may be chance where engines fail by themselves.
const CRASHES_TO_BLOCK: usize = 3;
/// The same for a request that came to a good end lately: what engines end under is something else, which stands beside
/// it, unless they have other weights or software since.
const CRASHES_TO_BLOCK_AFTER_SUCCESS: usize = 9;
/// How long a good end counts.
const SUCCESS_RETENTION: Duration = Duration::from_secs(600);
/// Runs that began so soon after the last of these were sent by nodes that had not heard of it.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// How long a request is held back before its trial while it is in doubt and no trial has ended an engine: that frees one
/// which only stood beside another. A trial may tell nothing, as when its caller leaves; once more is soon enough.
const FIRST_TRIAL_DELAYS: [Duration; 2] = [Duration::from_secs(5), Duration::from_secs(10)];
/// How long before each other one, by the engines that trials have ended: these find out whether engines with other
/// weights or software run it. Each may cost an engine; after the last of these there is none.
const TRIAL_DELAYS: [Duration; 3] = [
    Duration::from_secs(600),
    Duration::from_secs(600),
    Duration::from_secs(86_400),
];
/// A request is forgotten so long after the last end or trial, by all nodes at about the same time: a day after its last
/// trial its engines are other ones, most likely.
const BLOCKED_RETENTION: Duration = Duration::from_secs(2 * 86_400);
/// The same for one that is not held back.
const SUSPECT_RETENTION: Duration = Duration::from_secs(3_600);
/// Two requests that ran at so many of the same ends can't be told apart by them.
const MIN_SHARED_CRASHES: usize = 2;
/// Bounds the ends after the last trial, which only nodes add that were out of touch, and those that prove nothing.
const MAX_CRASHES: usize = CRASHES_TO_BLOCK_AFTER_SUCCESS + 2 * TRIAL_DELAYS.len();

/// What is known of one request under which engines ended.
///
/// Nodes tell each other their histories, and each merges what it hears into its own. It does not matter in
/// which order or how often.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct History {
    /// Each another end than the one before it; behind the third only those of much later runs.
    pub crashes: Vec<Crash>,
    /// When it was last seen to run to a good end: what ended before says nothing of it.
    pub last_success_at: Option<Timestamp>,
    /// Trials that have begun.
    pub trials: u32,
    /// When the last of them did.
    pub last_trial_at: Option<Timestamp>,
}

impl History {
    /// An engine ended under a run; `false` when this tells nothing new.
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
            // Another node knows that the engine had not ended before.
            self.crashes.remove(index);
        }
        self.crashes.push(crash);
        self.normalize();
        self.crashes != before
    }

    /// Whether the end of this life of an engine counts already.
    pub fn holds(&self, crash: &Crash) -> bool {
        self.crashes
            .iter()
            .any(|known| known.is_same_incarnation(crash))
    }

    /// A run came to a good end; `false` when this tells nothing new.
    pub fn record_success(&mut self, at: Timestamp) -> bool {
        if self.last_success_at >= Some(at) {
            return false;
        }
        self.last_success_at = Some(at);
        let count = self.crashes.len();
        self.crashes.retain(|crash| crash.ended > at);
        let has_changed = self.crashes.len() < count;
        if self.crashes.is_empty() {
            self.trials = 0;
            self.last_trial_at = None;
        }
        has_changed
    }

    /// Takes out the ends of engines that were no ends; tells how many.
    pub fn remove_crashes(&mut self, is_refuted: impl Fn(&Crash) -> bool) -> usize {
        let count = self.crashes.len();
        self.crashes.retain(|crash| !is_refuted(crash));
        count - self.crashes.len()
    }

    /// Takes in what another node knows; `false` when that is nothing new.
    pub fn merge(&mut self, other: &Self) -> bool {
        let mut has_changed = other
            .last_success_at
            .is_some_and(|at| self.record_success(at));
        if !self.is_blocked()
            && other.is_blocked()
            && self.last_success_at < other.crashes.last().map(|crash| crash.ended)
        {
            // How the times of its ends lie to each other is known best to the node that told them.
            self.crashes.clone_from(&other.crashes);
            let last_success_at = self.last_success_at;
            self.crashes
                .retain(|crash| last_success_at < Some(crash.ended));
            has_changed = true;
        }
        for crash in &other.crashes {
            has_changed |= self.record_crash(crash.clone());
        }
        if !self.crashes.is_empty() {
            has_changed |= self.trials < other.trials;
            self.trials = self.trials.max(other.trials);
            self.last_trial_at = self.last_trial_at.max(other.last_trial_at);
        }
        has_changed
    }

    /// Whether enough engines have ended under it, one after the other.
    pub fn is_blocked(&self) -> bool {
        self.blocked_at().is_some()
    }

    /// Whether one more end is enough.
    pub fn is_nearly_blocked(&self) -> bool {
        self.proven().count() + 1 >= self.crashes_to_block()
    }

    /// When the last of these ended.
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

    /// Ends of engines that were there when the run began.
    fn proven(&self) -> impl DoubleEndedIterator<Item = &Crash> {
        self.crashes.iter().filter(|crash| !crash.is_unproven)
    }

    /// Whether one of its runs may have met an engine that had ended before.
    pub fn has_doubtful_crash(&self) -> bool {
        self.crashes.iter().any(Crash::is_doubtful)
    }

    /// Whether the request may be sent to an engine; it is in doubt when it may only have stood beside another.
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

    /// Whether it came to a good end not long before engines began to end under it.
    fn succeeded_recently(&self) -> bool {
        let first = self.crashes.first();
        let good = self.last_success_at.zip(first);
        good.is_some_and(|(at, first)| first.ended.since(at) < SUCCESS_RETENTION)
    }

    /// Whether another request ran at some of the same ends.
    pub fn shares_crashes(&self, other: &Self) -> bool {
        let shared = self.crashes.iter().filter(|crash| other.holds(crash));
        shared.count() >= MIN_SHARED_CRASHES
    }

    /// The last end, trial or good end.
    pub fn last_event(&self) -> Option<Timestamp> {
        let ended = self.crashes.iter().map(|crash| crash.ended).max();
        ended.max(self.last_trial_at).max(self.last_success_at)
    }

    /// Whether what happened is so long ago that it is forgotten.
    ///
    /// Nodes tell each other the times that this goes by, so that none tells the others again what they have forgotten.
    pub fn is_expired(&self, now: Timestamp) -> bool {
        let limit = match self.is_blocked() {
            true => BLOCKED_RETENTION,
            false => SUSPECT_RETENTION,
        };
        let last = self.last_event();
        last.is_some_and(|at| now.since(at) > limit)
    }

    /// Whether it knows what `other` does not.
    pub fn has_updates_for(&self, other: &Self) -> bool {
        other.clone().merge(self)
    }

    /// A trial begins.
    pub fn begin_trial(&mut self, now: Timestamp) {
        self.trials += 1;
        self.last_trial_at = Some(now);
    }

    /// How long before the next trial; `None` when there is none.
    fn trial_delay(&self, blocked_at: Timestamp, is_ambiguous: bool) -> Option<Duration> {
        let since = blocked_at.after(PROPAGATION_TIME);
        let ended = self.crashes.iter().filter(|crash| crash.began > since);
        let first = FIRST_TRIAL_DELAYS.get(self.trials as usize);
        let first = first.filter(|_| is_ambiguous);
        match ended.count() {
            0 => first.or(TRIAL_DELAYS.first()).copied(),
            ended => TRIAL_DELAYS.get(ended).copied(),
        }
    }

    /// Keeps the ends that followed each other, and those of runs that began long after.
    fn normalize(&mut self) {
        let mut crashes = std::mem::take(&mut self.crashes);
        crashes.sort_by_key(|crash| crash.ended);
        for crash in crashes {
            let is_kept = match self.blocked_at() {
                Some(at) => {
                    crash.began > at.after(PROPAGATION_TIME) && self.crashes.len() < MAX_CRASHES
                }
                None if crash.is_unproven => {
                    let is_separate_from = self
                        .crashes
                        .last()
                        .is_none_or(|last| crash.is_separate_from(last));
                    is_separate_from && self.crashes.len() < MAX_CRASHES
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
