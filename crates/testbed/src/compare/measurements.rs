//! What is measured of one policy.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use ryerouter_core::Timestamp;
use ryerouter_core::dispatch::{Priority, RefusalReason};
use ryerouter_core::prompt::BlockHash;

use super::placement_miss::PlacementMiss;
use super::waste_ledger::WasteLedger;

/// Tokens of attempts that went past a better holder.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct MissedTokens {
    /// The holder was too busy.
    pub busy_holder: u64,
    /// The holder would have answered sooner.
    pub free_holder: u64,
}

/// What is measured of one policy. Requests that callers sent before `from` are left out.
#[derive(Debug)]
pub(super) struct Measurements {
    from: Timestamp,
    until: Timestamp,
    /// First-token times of interactive requests, in microseconds.
    pub interactive: Histogram<u64>,
    /// First-token times of batch requests, in microseconds.
    pub batch: Histogram<u64>,
    /// Requests measured.
    pub requests: u64,
    /// Requests answered whole.
    pub completed: u64,
    /// Requests refused, by reason.
    pub refused: BTreeMap<String, u64>,
    /// Prompt tokens of completed attempts.
    pub prompt_tokens: u64,
    /// Prompt tokens of completed attempts that came from a cache.
    pub cached_tokens: u64,
    /// Attempts made.
    pub attempts: u64,
    /// Attempts that went past a better holder.
    pub missed: MissedTokens,
    /// Accounts of computed tokens.
    pub waste: WasteLedger,
    /// Requests that had not ended when the run did.
    pub unfinished: u64,
    /// Prompt tokens that engines computed while requests arrived.
    pub computed_on_time: u64,
    /// Tokens of answers that engines computed while requests arrived.
    pub answered_on_time: u64,
}

/// Three significant digits.
const PRECISION: u8 = 3;
/// Longer waits are counted as this long.
const LONGEST_WAIT: Duration = Duration::from_secs(600);

impl Measurements {
    /// Measures requests sent from `from` on; arrivals end at `until`.
    pub fn new(from: Timestamp, until: Timestamp) -> Self {
        let longest = LONGEST_WAIT.as_micros() as u64;
        let histogram =
            || Histogram::new_with_max(longest, PRECISION).expect("the bounds are valid");
        Self {
            from,
            until,
            interactive: histogram(),
            batch: histogram(),
            requests: 0,
            completed: 0,
            refused: BTreeMap::new(),
            prompt_tokens: 0,
            cached_tokens: 0,
            attempts: 0,
            missed: MissedTokens::default(),
            waste: WasteLedger::default(),
            unfinished: 0,
            computed_on_time: 0,
            answered_on_time: 0,
        }
    }

    /// Whether what happens to a request sent then is measured.
    pub fn covers(&self, sent_at: Timestamp) -> bool {
        sent_at >= self.from
    }

    /// A caller got its first token, or waited this long for nothing.
    pub fn first_token(&mut self, priority: Priority, wait: Duration) {
        let micros = wait.as_micros() as u64;
        match priority {
            Priority::Interactive => self.interactive.saturating_record(micros),
            Priority::Batch => self.batch.saturating_record(micros),
        }
    }

    /// An engine computed a block.
    pub fn computed(&mut self, hash: BlockHash, tokens: u32, now: Timestamp) {
        let counted = self.covers(now);
        if counted && now < self.until {
            self.computed_on_time += u64::from(tokens);
        }
        self.waste.computed(hash, tokens, counted);
    }

    /// An engine computed a token of an answer.
    pub fn answered(&mut self, now: Timestamp) {
        if self.covers(now) && now < self.until {
            self.answered_on_time += 1;
        }
    }

    /// A request was refused.
    pub fn refused(&mut self, reason: RefusalReason) {
        *self.refused.entry(reason.to_string()).or_insert(0) += 1;
    }

    /// An attempt went past a better holder of `tokens` more tokens.
    pub fn missed(&mut self, miss: PlacementMiss, tokens: u32) {
        let account = match miss {
            PlacementMiss::BusyHolder => &mut self.missed.busy_holder,
            PlacementMiss::FreeHolder => &mut self.missed.free_holder,
        };
        *account += u64::from(tokens);
    }
}
