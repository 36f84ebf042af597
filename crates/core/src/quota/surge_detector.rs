//! Notices surges before other nodes report them.

use std::time::Duration;

use super::account::{REPORT_WINDOW, STEADY_WINDOW};
use super::{Meter, Peers, Surge};
use crate::Timestamp;

/// Growth of a node's own traffic from which a surge at all nodes is assumed.
const MIN_SURGE_GROWTH: f64 = 3.0;
/// Maximum growth that is assumed of other nodes.
const MAX_SURGE_GROWTH: f64 = 20.0;
/// Growth below which a surge is over, so that a new one may begin.
const MAX_CALM_GROWTH: f64 = 1.5;
/// Time in which reports of a surge arrive from all zones. Later, the reports are more accurate.
const REPORT_DELAY: Duration = Duration::from_millis(1_000);
/// A recent count is taken to be this many standard deviations above its mean.
const COUNT_DEVIATIONS: f64 = 2.5;
/// A node's traffic says nothing of the other nodes if it differs from their mean by more than this
/// factor, because then the tenant's callers use only some of the nodes.
const MAX_UNEVENNESS: f64 = 2.0;

/// The traffic of this node, averaged over `STEADY_WINDOW`.
#[derive(Debug, Clone, Copy)]
pub(super) struct SteadyTraffic {
    /// Requests per second.
    pub(super) requests: f64,
    /// Amount per second.
    pub(super) asked: f64,
}

/// Estimates from the requests at this node how much is asked for at the others, from the moment of a
/// sudden increase until they report it.
#[derive(Debug)]
pub(super) struct SurgeDetector {
    /// Requests per second at this node.
    recent: Meter,
    /// Amount per second asked for at the other nodes, averaged over `STEADY_WINDOW`.
    others: f64,
    averaged_at: Timestamp,
    surge: Option<Surge>,
}

impl SurgeDetector {
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            recent: Meter::new(REPORT_WINDOW, now),
            others: 0.0,
            averaged_at: now,
            surge: None,
        }
    }

    pub(super) fn surge(&self) -> Option<Surge> {
        self.surge
    }

    /// Averages what the other nodes report.
    pub(super) fn advance(&mut self, others_asked: f64, now: Timestamp) {
        let elapsed = now.since(self.averaged_at).as_secs_f64();
        let weight = 1.0 - (-elapsed / STEADY_WINDOW.as_secs_f64()).exp();
        self.others += (others_asked - self.others) * weight;
        self.averaged_at = now;
    }

    pub(super) fn count_request(&mut self, now: Timestamp) {
        self.recent.count(1.0, now);
    }

    /// Amount per second that is presumably asked for at the other nodes: what they report, or more
    /// while a surge is not reported yet.
    pub(super) fn others_asked(
        &mut self,
        own: SteadyTraffic,
        peers: &Peers,
        now: Timestamp,
    ) -> f64 {
        let reported = peers.others.asked;
        self.note_growth(own, peers, now);
        let unreported = self
            .surge
            .filter(|surge| now.since(surge.began_at) < REPORT_DELAY);
        unreported.map_or(reported, |surge| {
            let growth = self.growth(surge.usual_requests, now);
            reported.max(surge.usual_others * growth)
        })
    }

    /// Notices the begin and the end of a surge.
    fn note_growth(&mut self, own: SteadyTraffic, peers: &Peers, now: Timestamp) {
        let usual_requests = self.usual_requests(own, now);
        let growth = self.growth(usual_requests, now);
        if growth < MAX_CALM_GROWTH {
            self.surge = None;
        }
        if growth >= MIN_SURGE_GROWTH && self.surge.is_none() {
            let mean_amount = own.asked / own.requests.max(f64::MIN_POSITIVE);
            let is_typical = self.is_typical(usual_requests * mean_amount, peers);
            self.surge = Some(Surge {
                began_at: now,
                usual_requests,
                usual_others: if is_typical { self.others } else { 0.0 },
            });
        }
    }

    /// Requests per second at this node without the recent ones; at least one in `STEADY_WINDOW`.
    fn usual_requests(&self, own: SteadyTraffic, now: Timestamp) -> f64 {
        let steady_s = STEADY_WINDOW.as_secs_f64();
        let recent_s = REPORT_WINDOW.as_secs_f64();
        let recent = self.recent.per_second(now) * recent_s;
        let earlier = (own.requests * steady_s - recent).max(1.0);
        earlier / (steady_s - recent_s)
    }

    /// Growth of this node's traffic that can't be explained by chance.
    fn growth(&self, usual_requests: f64, now: Timestamp) -> f64 {
        let window_s = REPORT_WINDOW.as_secs_f64();
        let count = self.recent.per_second(now) * window_s;
        // The variance of an exponentially weighted count is half its mean.
        let certain = count - COUNT_DEVIATIONS * (count / 2.0).sqrt();
        (certain / (usual_requests * window_s)).min(MAX_SURGE_GROWTH)
    }

    /// Whether this node is usually asked for about as much as the others.
    fn is_typical(&self, usual_asked: f64, peers: &Peers) -> bool {
        let others = peers.nodes.saturating_sub(1 + peers.silent).max(1);
        let mean = self.others / others as f64;
        usual_asked <= mean * MAX_UNEVENNESS && usual_asked >= mean / MAX_UNEVENNESS
    }
}
