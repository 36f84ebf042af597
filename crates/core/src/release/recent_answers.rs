//! Answers of the last moments.

use std::collections::VecDeque;
use std::time::Duration;

use super::Tally;
use crate::Timestamp;

/// An answer is compared with those that came within this time before and after it. What makes every
/// engine slow (a busy machine, a burst, a slow link) lasts for longer; a quiet pool of 25 requests a
/// second has some twenty answers in it.
pub(super) const COMPARISON_RADIUS: Duration = Duration::from_millis(500);
/// Answers are kept for so long, and the last so many times that some came for longer.
const RETENTION: Duration = Duration::from_secs(2);
const MIN_RETAINED: usize = 20;
/// With fewer answers before or after it there is nothing to compare with.
const MIN_ANSWERS: u32 = 3;
/// One slow answer among a few is no slowness of all.
const MIN_SLOW_ANSWERS: u32 = 2;
/// Above this share nearly all answers are slow, whatever the version: such moments tell nothing of it.
const MAX_SLOW_SHARE: f64 = 0.8;

/// What the present version's answers of the same moments say of slow ones.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Control {
    /// There are too few of them, as when nearly all requests go to the target version.
    Missing,
    /// Nearly all of them are slow.
    AllSlow,
    /// So large a share of them is slow.
    SlowShare(f64),
}

/// A version's answers of the last moments. Slow answers come in bunches, over all engines at once, so only
/// those of the same moments can tell whether a version is slow by itself.
#[derive(Debug, Clone, Default)]
pub(super) struct RecentAnswers {
    answers: VecDeque<(Timestamp, Tally)>,
}

impl RecentAnswers {
    /// More answers.
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

    /// The answers that came since then, or the last so many where fewer came.
    pub(super) fn since(&self, from: Timestamp, least: u32) -> Tally {
        let mut sum = Tally::default();
        for (at, tally) in self.answers.iter().rev() {
            if *at < from && sum.answers >= least {
                break;
            }
            sum.add(*tally);
        }
        sum
    }

    /// What the answers around a moment, which are the present version's, say of slow ones then. A slowness of all
    /// may begin or end at that moment, so of those before and those after it the slower ones count.
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

/// Share of answers that were slow, and by as much more as a share of so few usually errs.
fn slow_share(tally: Tally) -> f64 {
    if tally.slow < MIN_SLOW_ANSWERS {
        return 0.0;
    }
    let answers = f64::from(tally.answers);
    let share = f64::from(tally.slow) / answers;
    share + (share * (1.0 - share) / answers).sqrt()
}
