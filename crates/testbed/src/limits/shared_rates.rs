//! Shared rates.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ryerouter_core::Timestamp;
use ryerouter_core::quota::{
    Account, Limit, Peers, Request, Settlement, Tolerance, Usage, Verdict as Decision,
};

use super::{Scheme, Verdict};

/// Nodes tell what they see this often; what zones tell each other is as old again.
const TELL_INTERVAL: Duration = Duration::from_millis(300);
/// A node that is not heard for so long is silent.
const SILENT_AFTER: Duration = Duration::from_millis(1_100);
const ZONES: usize = 3;
/// Nodes of the own zone that hear each message, at most.
const MOST_NEAR: usize = 30;

/// Each node admits a share of the requests by what all nodes tell.
pub struct SharedRates {
    limit: Limit,
    accounts: Vec<Vec<Account>>,
    /// What each node told last, by tenant, and the same as other zones know it.
    told: Vec<Vec<Usage>>,
    told_to_zones: Vec<Vec<Usage>>,
    /// By how much each node's last totals differ from its rates, by tenant, and the same as other
    /// zones know it.
    corrections: Vec<Vec<f64>>,
    corrections_for_zones: Vec<Vec<f64>>,
    /// What each node hears of the others, by tenant.
    peers: Vec<Vec<Peers>>,
    tell_at: Timestamp,
    cut_at: Option<Timestamp>,
    random: ChaCha8Rng,
    messages: u64,
}

impl SharedRates {
    /// Accounts on `nodes` for `limit` requests a second of each of `tenants`.
    pub fn new(nodes: usize, tenants: usize, limit: u64, now: Timestamp) -> Self {
        let limit = Limit {
            per_second: limit as f64,
            burst: limit as f64,
        };
        let limit = limit.control_target(&Tolerance::default());
        let account = |_| Account::new(&limit, Duration::ZERO, now);
        Self {
            limit,
            accounts: (0..nodes)
                .map(|_| (0..tenants).map(account).collect())
                .collect(),
            told: vec![vec![Usage::default(); tenants]; nodes],
            told_to_zones: vec![vec![Usage::default(); tenants]; nodes],
            corrections: vec![vec![0.0; tenants]; nodes],
            corrections_for_zones: vec![vec![0.0; tenants]; nodes],
            peers: vec![vec![Peers::alone(); tenants]; nodes],
            tell_at: now,
            cut_at: None,
            random: ChaCha8Rng::seed_from_u64(1),
            messages: 0,
        }
    }

    fn is_cut(&self, left: usize, right: usize) -> bool {
        let half = self.accounts.len() / 2;
        self.cut_at.is_some() && (left < half) != (right < half)
    }

    fn tell(&mut self, now: Timestamp) {
        let nodes = self.accounts.len();
        self.corrections_for_zones = self.corrections.clone();
        self.told_to_zones = self.told.clone();
        for node in 0..nodes {
            for tenant in 0..self.told[node].len() {
                let report = self.accounts[node][tenant].usage(now);
                let before = std::mem::replace(&mut self.told[node][tenant], report);
                let mut settlement = Settlement::default();
                settlement.add(Some(&before), &report, TELL_INTERVAL);
                self.corrections[node][tenant] = settlement.correction;
            }
        }
        for node in 0..nodes {
            self.messages += (nodes / ZONES).min(MOST_NEAR) as u64;
            for tenant in 0..self.peers[node].len() {
                self.peers[node][tenant] = self.peers(node, tenant, now);
            }
        }
    }

    fn peers(&self, node: usize, tenant: usize, now: Timestamp) -> Peers {
        let nodes = self.accounts.len();
        let is_lost = self.cut_at.is_some_and(|at| now.since(at) >= SILENT_AFTER);
        let mut peers = Peers {
            nodes,
            ..Peers::alone()
        };
        peers.others.correction = self.peers[node][tenant].others.correction;
        for other in (0..nodes).filter(|other| *other != node) {
            if is_lost && self.is_cut(node, other) {
                peers.silent += 1;
                continue;
            }
            let (told, corrections) = match node % ZONES == other % ZONES {
                true => (&self.told, &self.corrections),
                false => (&self.told_to_zones, &self.corrections_for_zones),
            };
            peers.others.add_recent(told[other][tenant]);
            peers.others.correction += corrections[other][tenant];
        }
        peers
    }
}

impl Scheme for SharedRates {
    fn request(&mut self, node: usize, tenant: usize, now: Timestamp) -> Verdict {
        let ask = Request {
            amount: 1.0,
            priority: 0,
            draw: self.random.random(),
        };
        let peers = &self.peers[node][tenant];
        match self.accounts[node][tenant].decide(&self.limit, peers, &ask, now) {
            Decision::Admitted => Verdict::Admitted,
            Decision::Refused { .. } => Verdict::Refused,
        }
    }

    fn advance(&mut self, now: Timestamp, _decided: &mut Vec<(usize, bool)>) {
        if now >= self.tell_at {
            self.tell_at = now.after(TELL_INTERVAL);
            self.tell(now);
        }
    }

    fn set_cut(&mut self, cut: bool, now: Timestamp) {
        self.cut_at = cut.then(|| self.cut_at.unwrap_or(now));
    }

    fn messages(&self) -> u64 {
        self.messages
    }
}
