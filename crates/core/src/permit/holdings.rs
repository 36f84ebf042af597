//! Permits of one node, as its issuer knows them.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Number, Report};
use crate::Timestamp;

/// A permit that its holder has not reported yet counts for this time: the answer that issues it may be lost.
const UNREPORTED_TIME: Duration = Duration::from_millis(500);
/// Permits of a node that has reported nothing for this time have lapsed, since the node is probably gone.
const LAPSE_TIME: Duration = Duration::from_millis(1_500);
/// An engine drops the requests of a process that has ended within this time.
const ENDED_TIME: Duration = Duration::from_millis(300);
/// A permit that was not issued here counts for this time at most, so that a node with wrong reports doesn't keep an
/// engine from all others.
const FOREIGN_TIME: Duration = Duration::from_secs(10);

#[derive(Debug, Clone, Copy)]
struct Permit {
    at: Timestamp,
    is_reported: bool,
    /// Whether it was issued here. Others were issued by an earlier issuer, or taken before any were needed.
    is_own: bool,
    /// Whether it no longer counts.
    is_void: bool,
    /// When it lapses, if its holder has ended.
    lapses_at: Option<Timestamp>,
}

impl Permit {
    fn issued(at: Timestamp) -> Self {
        Self {
            at,
            is_reported: false,
            is_own: true,
            is_void: false,
            lapses_at: None,
        }
    }

    fn foreign(at: Timestamp) -> Self {
        Self {
            is_reported: true,
            is_own: false,
            ..Self::issued(at)
        }
    }
}

/// Permits of one node, as its issuer knows them.
#[derive(Debug, Clone, Default)]
pub(super) struct Holdings {
    permits: BTreeMap<Number, Permit>,
    reported_at: Timestamp,
}

impl Holdings {
    pub(super) fn count(&self) -> usize {
        let permits = self.permits.values();
        permits.filter(|permit| !permit.is_void).count()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.permits.is_empty()
    }

    pub(super) fn holds(&self, number: Number) -> bool {
        self.permits.contains_key(&number)
    }

    pub(super) fn issue(&mut self, number: Number, now: Timestamp) {
        self.permits.insert(number, Permit::issued(now));
        self.reported_at = self.reported_at.max(now);
    }

    /// Applies a report. At most `max_foreign` permits count that were not issued here. Returns how long each permit
    /// that was returned had been held.
    pub(super) fn apply(
        &mut self,
        report: &Report,
        max_foreign: usize,
        now: Timestamp,
    ) -> Vec<Duration> {
        self.reported_at = now;
        let returned = report.returned.iter();
        let returned = returned.filter_map(|number| self.permits.remove(number));
        let times = returned.map(|permit| now.since(permit.at)).collect();
        for number in &report.held {
            self.note_held(*number, max_foreign, now);
        }
        self.permits.retain(|number, permit| {
            let is_unreported = !permit.is_reported && now.since(permit.at) < UNREPORTED_TIME;
            is_unreported || report.held.contains(number)
        });
        times
    }

    fn note_held(&mut self, number: Number, max_foreign: usize, now: Timestamp) {
        if let Some(permit) = self.permits.get_mut(&number) {
            permit.is_reported = true;
            return;
        }
        let foreign = self.permits.values().filter(|permit| !permit.is_own);
        if foreign.count() < max_foreign {
            self.permits.insert(number, Permit::foreign(now));
        }
    }

    /// Lets permits lapse soon whose process has ended.
    pub(super) fn end(&mut self, is_of_process: impl Fn(Number) -> bool, now: Timestamp) {
        let ended = self.permits.iter_mut();
        for (_, permit) in ended.filter(|(number, _)| is_of_process(**number)) {
            permit.lapses_at.get_or_insert(now.after(ENDED_TIME));
        }
    }

    /// Removes permits that have lapsed.
    pub(super) fn expire(&mut self, now: Timestamp) {
        if now.since(self.reported_at) >= LAPSE_TIME {
            self.permits.clear();
        }
        let is_held = |permit: &Permit| permit.lapses_at.is_none_or(|at| now < at);
        self.permits.retain(|_, permit| is_held(permit));
        for permit in self.permits.values_mut() {
            permit.is_void = !permit.is_own && now.since(permit.at) >= FOREIGN_TIME;
        }
    }
}
