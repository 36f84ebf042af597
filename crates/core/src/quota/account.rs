//! Account of one tenant at one node.

use std::collections::BTreeMap;
use std::time::Duration;

use super::surge_detector::{SteadyTraffic, SurgeDetector};
use super::{Limit, Meter, Peers, Request, Surge, Usage, Verdict};
use crate::Timestamp;

/// Averaging time of the usage that is reported to other nodes. It spans several requests of a busy
/// tenant and is no longer than a report takes, so that an increase is seen early.
pub(super) const REPORT_WINDOW: Duration = Duration::from_millis(200);
/// Averaging time where a node estimates the traffic of all nodes from its own. It is longer than
/// that of reports, because a single node sees few requests.
pub(super) const STEADY_WINDOW: Duration = Duration::from_secs(4);
/// Time within which the admitted amount is adjusted to meet the limit. Reports of other zones take
/// up to a second, and a shorter time would cause oscillation.
const CONTROL_HORIZON: Duration = Duration::from_millis(1_000);
/// A new account begins with this much of the limit used up, because the process may have been
/// restarted and lost what it admitted before.
const PRESUMED_USE: Duration = Duration::from_secs(1);
/// Maximum debt after usage beyond the limit, as the time in which the limit allows that amount.
const MAX_DEBT: Duration = Duration::from_secs(4);
/// Share of the admitted amount that goes to all requests alike, so that no priority is shut out.
/// The rest goes to the most urgent requests first.
const UNPRIORITIZED_SHARE: f64 = 0.25;
/// A request that uses less than this share of the tenant's mean request is given the most urgent
/// priority, because refusing it would save nothing.
const SMALL_REQUEST_SHARE: f64 = 0.1;
/// Bounds of the period over which the retries of refused callers are spread. The period is the time in
/// which the limit admits what is asked for in one second.
const MIN_SPREAD_S: f64 = 0.5;
const MAX_SPREAD_S: f64 = 4.0;

/// One tenant with a limit, as seen by one node.
#[derive(Debug)]
pub struct Account {
    /// Amount that all nodes together may admit at once; negative after they admitted too much.
    balance: f64,
    balanced_at: Timestamp,
    /// Share of the amount asked for that was admitted at the last decision.
    share: f64,
    asked: Meter,
    admitted: Meter,
    /// Running total of what this node admitted.
    total: f64,
    /// The running correction of other nodes' rates up to which the balance is charged; `None` before
    /// the first.
    corrected: Option<f64>,
    asked_by_priority: BTreeMap<u8, Meter>,
    requests: Meter,
    surge: SurgeDetector,
}

impl Account {
    /// Opens an account at `now`, in a process that has run for `uptime`.
    pub fn new(limit: &Limit, uptime: Duration, now: Timestamp) -> Self {
        let presumed = PRESUMED_USE.saturating_sub(uptime).as_secs_f64();
        let filled = uptime.saturating_sub(PRESUMED_USE).as_secs_f64();
        let balance = limit.per_second * (filled - presumed);
        Self {
            balance: balance.min(limit.burst),
            balanced_at: now,
            share: 1.0,
            asked: Meter::new(REPORT_WINDOW, now),
            admitted: Meter::new(REPORT_WINDOW, now),
            total: 0.0,
            corrected: None,
            asked_by_priority: BTreeMap::new(),
            requests: Meter::new(STEADY_WINDOW, now),
            surge: SurgeDetector::new(now),
        }
    }

    /// Advances the account to `now`: adds what the limit allows to the balance and subtracts what
    /// other nodes admit.
    pub fn advance(&mut self, limit: &Limit, peers: &Peers, now: Timestamp) {
        let elapsed = now.since(self.balanced_at).as_secs_f64();
        self.balanced_at = now;
        self.surge.advance(peers.others.asked, now);
        let correction = self.next_correction(peers);
        let others = match peers.is_uninformed {
            // An uninformed node subtracts this in `charge` instead, as it admits.
            true => 0.0,
            // Nodes without a recent report are assumed to admit the same share as this node. The
            // rate they last reported may date from a moment at which they compensated for a surge.
            false => peers.others.admitted + peers.others.stale * self.share,
        };
        let per_second = limit.per_second * peers.share_of_reachable();
        let min_balance = -limit.per_second * MAX_DEBT.as_secs_f64();
        let balance = self.balance + (per_second - others) * elapsed - correction;
        self.balance = balance.max(min_balance).min(limit.burst);
    }

    /// What other nodes admitted beyond what has been charged. An uninformed node has charged it
    /// itself, as it admitted.
    fn next_correction(&mut self, peers: &Peers) -> f64 {
        let total = peers.others.correction;
        let charged = self.corrected.replace(total).unwrap_or(total);
        match peers.is_uninformed {
            true => 0.0,
            false => total - charged,
        }
    }

    /// Decides on a request.
    pub fn decide(
        &mut self,
        limit: &Limit,
        peers: &Peers,
        request: &Request,
        now: Timestamp,
    ) -> Verdict {
        self.advance(limit, peers, now);
        let priority = self.record_request(request, now);
        let asked = self.total_asked(peers, now);
        let horizon = CONTROL_HORIZON.as_secs_f64();
        let per_second = limit.per_second * peers.share_of_reachable();
        let room = (self.balance + per_second * horizon).max(0.0);
        self.share = (room / (asked * horizon).max(f64::MIN_POSITIVE)).min(1.0);
        let share = self.priority_share(priority, self.share, now);
        if request.draw < share {
            self.charge(peers, request.amount, now);
            return Verdict::Admitted;
        }
        Verdict::Refused {
            retry_after: self.retry_after(limit, asked, request.draw),
            balance: self.balance,
            share,
            asked,
        }
    }

    /// Counts a request; returns the priority by which it is admitted.
    fn record_request(&mut self, request: &Request, now: Timestamp) -> u8 {
        self.asked.count(request.amount, now);
        self.requests.count(1.0, now);
        self.surge.count_request(now);
        let priority = self.effective_priority(request, now);
        let by_priority = self.asked_by_priority.entry(priority);
        let of_priority = by_priority.or_insert_with(|| Meter::new(STEADY_WINDOW, now));
        of_priority.count(request.amount, now);
        priority
    }

    /// Charges the account for an admitted request, and again for each further run of the request.
    pub fn charge(&mut self, peers: &Peers, amount: f64, now: Timestamp) {
        self.admitted.count(amount, now);
        self.total += amount;
        let represented_nodes = if peers.is_uninformed {
            peers.nodes.max(1)
        } else {
            1
        };
        self.balance -= amount * represented_nodes as f64;
    }

    /// Returns the amount of an admitted request that did not run.
    pub fn refund(&mut self, peers: &Peers, amount: f64, now: Timestamp) {
        self.charge(peers, -amount, now);
    }

    /// Usage that this node reports to the others.
    pub fn usage(&self, now: Timestamp) -> Usage {
        Usage {
            asked: self.asked.per_second(now) as f32,
            admitted: self.admitted.per_second(now) as f32,
            total: Some(Usage::reported_total(self.total)),
        }
    }

    /// Running total of what this node admitted.
    pub fn total(&self) -> f64 {
        self.total
    }

    /// Amount per second that is asked for at this node, by the average that is higher now.
    pub fn peak_asked(&self, now: Timestamp) -> f64 {
        self.asked.per_second(now).max(self.steady_asked(now))
    }

    /// The surge that lasts at this node.
    pub fn surge(&self) -> Option<Surge> {
        self.surge.surge()
    }

    /// Amount that all nodes together may admit at once.
    pub fn balance(&self) -> f64 {
        self.balance
    }

    /// Amount per second that is asked for at all nodes.
    fn total_asked(&mut self, peers: &Peers, now: Timestamp) -> f64 {
        match peers.is_uninformed {
            true => self.steady_asked(now) * peers.nodes.max(1) as f64,
            false => {
                let own = SteadyTraffic {
                    requests: self.requests.per_second(now),
                    asked: self.steady_asked(now),
                };
                self.asked.per_second(now) + self.surge.others_asked(own, peers, now)
            }
        }
    }

    /// Amount per second that is asked for at this node, averaged over `STEADY_WINDOW`.
    fn steady_asked(&self, now: Timestamp) -> f64 {
        let meters = self.asked_by_priority.values();
        meters.map(|meter| meter.per_second(now)).sum()
    }

    /// The priority by which a request is admitted.
    fn effective_priority(&self, request: &Request, now: Timestamp) -> u8 {
        let requests = self.requests.per_second(now).max(f64::MIN_POSITIVE);
        let mean = self.steady_asked(now) / requests;
        let is_small = request.amount < mean * SMALL_REQUEST_SHARE;
        if is_small { 0 } else { request.priority }
    }

    /// The share of requests of a priority that is admitted when `share` of all requests are.
    /// Except for the part that goes to all alike, the admitted amount goes to the most urgent
    /// requests first. The proportions of the priorities are those that this node sees.
    fn priority_share(&self, priority: u8, share: f64, now: Timestamp) -> f64 {
        let all = self.steady_asked(now).max(f64::MIN_POSITIVE);
        let ahead = self.asked_by_priority.range(..priority);
        let ahead: f64 = ahead.map(|(_, meter)| meter.per_second(now)).sum();
        let own = self.asked_by_priority.get(&priority);
        let own = own.map_or(0.0, |meter| meter.per_second(now));
        let urgent_first = (share - ahead / all) / (own / all).max(f64::MIN_POSITIVE);
        UNPRIORITIZED_SHARE * share + (1.0 - UNPRIORITIZED_SHARE) * urgent_first.clamp(0.0, 1.0)
    }

    /// Time until the balance has recovered, plus a part of the spread by the request's draw, so
    /// that refused callers do not all return at once.
    fn retry_after(&self, limit: &Limit, asked: f64, draw: f64) -> Duration {
        let per_second = limit.per_second.max(f64::MIN_POSITIVE);
        let recovery_s = (-self.balance / per_second).clamp(0.0, MAX_DEBT.as_secs_f64());
        let spread_s = (asked / per_second).clamp(MIN_SPREAD_S, MAX_SPREAD_S);
        Duration::from_secs_f64(recovery_s + spread_s * draw)
    }
}
