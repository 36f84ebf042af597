//! Recent answers of one version.

use std::collections::VecDeque;
use std::time::Duration;

use super::Tally;
use crate::Timestamp;

/// An answer is compared with those that came within this time before and after it. Causes that
/// slow all engines down (a busy machine, a burst, a slow link) last longer. In a quiet pool of 25
/// requests per second, some twenty answers fall into this period.
pub(super) const COMPARISON_RADIUS: Duration = Duration::from_millis(500);
/// Time for which answers are kept.
const RETENTION: Duration = Duration::from_secs(2);
/// Number of latest entries that are kept even after [`RETENTION`].
const MIN_RETAINED: usize = 20;
/// Minimum number of answers for a comparison, both before and after the compared answer.
const MIN_ANSWERS: u32 = 3;
/// Fewer slow answers than this count as none: a single one among a few answers doesn't mean that
/// all engines are slow.
const MIN_SLOW_ANSWERS: u32 = 2;
/// Above this share of slow answers nearly all answers are slow whatever the version, so they are
/// no evidence about it.
const MAX_SLOW_SHARE: f64 = 0.8;

/// Share of slow answers of the present version around a point in time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Control {
    /// There are too few answers, for instance because nearly all requests go to the target
    /// version.
    Missing,
    /// Nearly all answers are slow.
    AllSlow,
    /// This share of the answers is slow.
    SlowShare(f64),
}

/// Recent answers of one version. Slow answers come in groups from all engines at once, so only
/// answers of the same time can show whether a version itself is slow.
#[derive(Debug, Clone, Default)]
pub(super) struct RecentAnswers {
    answers: VecDeque<(Timestamp, Tally)>,
}

impl RecentAnswers {
    /// Adds answers that arrived at `now`.
    pub(super) fn note(&mut self, tally: Tally, now: Timestamp) {
        if tally.answers > 0 {
            self.answers.push_back((now, tally));
        }
        let is_old = |at: Timestamp| now.since(at) > RETENTION;
        while self.answers.len() > MIN_RETAINED
            && self.answers.front().is_some_and(|(at, _)| is_old(*at))
        {
            self.answers.pop_front();
        }
    }

    /// Answers that came at `from` or later; if they are fewer than `min_answers`, earlier ones are
    /// included.
    pub(super) fn since(&self, from: Timestamp, min_answers: u32) -> Tally {
        let mut sum = Tally::default();
        for (at, tally) in self.answers.iter().rev() {
            if *at < from && sum.answers >= min_answers {
                break;
            }
            sum.add(*tally);
        }
        sum
    }

    /// The share of slow answers around `moment`; called on the answers of the present version.
    /// The shares before and after `moment` are computed separately and the larger one is used,
    /// because engines may become slow, or stop being slow, at that moment.
    pub(super) fn around(&self, moment: Timestamp) -> Control {
        let within = |from, to| {
            let answers = self.answers.iter();
            sum(answers.filter(move |(at, _)| (from..=to).contains(at)))
        };
        let before = within(moment.before(COMPARISON_RADIUS), moment);
        let after = within(moment, moment.after(COMPARISON_RADIUS));
        if before.answers.min(after.answers) < MIN_ANSWERS {
            return Control::Missing;
        }
        match slow_share(before).max(slow_share(after)) {
            share if share > MAX_SLOW_SHARE => Control::AllSlow,
            share => Control::SlowShare(share),
        }
    }
}

fn sum<'a>(answers: impl Iterator<Item = &'a (Timestamp, Tally)>) -> Tally {
    let mut sum = Tally::default();
    for (_, tally) in answers {
        sum.add(*tally);
    }
    sum
}

/// Share of answers that were slow, plus one standard error of the share.
fn slow_share(tally: Tally) -> f64 {
    if tally.slow < MIN_SLOW_ANSWERS {
        return 0.0;
    }
    let answers = f64::from(tally.answers);
    let share = f64::from(tally.slow) / answers;
    share + (share * (1.0 - share) / answers).sqrt()
}
