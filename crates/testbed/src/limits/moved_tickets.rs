//! Tickets from a few banks.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::catalog::{Catalog, Tenant, TenantLimits};
use ryerouter_core::claim::{ClaimRoster, KeeperGroup};
use ryerouter_core::identity::{NodeName, ResourceVersion, TenantName};
use ryerouter_core::limit::{
    LimitAllocator, LimitAllocatorEvent, LimitClient, LimitCost, LimitDecision, LimitEnvelope,
    LimitMessage, LimitSettings,
};

use super::{Scheme, Verdict};

const BANKS: usize = 5;
const MAX_GROUPS: usize = 128;
/// One way between nodes of different zones.
const LATENCY: Duration = Duration::from_millis(2);
const BORROWER_TICK: Duration = Duration::from_millis(100);

struct Envelope {
    from: usize,
    to: usize,
    message: LimitMessage,
}

/// The router's own way: each node spends tickets that it asked of the tenant's banks.
pub struct MovedTickets {
    borrowers: Vec<LimitClient>,
    banks: Vec<LimitAllocator>,
    tenants: Vec<TenantName>,
    waiting: BTreeMap<(usize, usize), u32>,
    network: BTreeMap<Timestamp, VecDeque<Envelope>>,
    tick_at: Timestamp,
    cut: bool,
    messages: u64,
}

fn node_name(node: usize) -> NodeName {
    NodeName::new(format!("node-{node}"))
}

fn index_of(name: &NodeName) -> usize {
    let number = name.as_str().trim_start_matches("node-");
    number.parse().unwrap_or_default()
}

impl MovedTickets {
    /// Banks and borrowers on `nodes` for `limit` requests a second of each of `tenants`.
    pub fn new(nodes: usize, tenants: usize, limit: u64, now: Timestamp) -> Self {
        let catalog = Arc::new(catalog(nodes, tenants, limit));
        let settings = LimitSettings::default();
        let started_at = now.before(Duration::from_secs(10));
        let mut borrowers = Vec::new();
        let mut banks = Vec::new();
        for node in 0..nodes {
            let mut borrower = LimitClient::new(node_name(node), started_at, settings);
            borrower.adopt(Arc::clone(&catalog));
            borrowers.push(borrower);
            let mut bank = LimitAllocator::new(node_name(node), settings);
            let event = LimitAllocatorEvent::CatalogChanged(Arc::clone(&catalog));
            bank.handle(event, started_at, &mut Vec::new());
            banks.push(bank);
        }
        Self {
            borrowers,
            banks,
            tenants: catalog.tenants.keys().cloned().collect(),
            waiting: BTreeMap::new(),
            network: BTreeMap::new(),
            tick_at: now,
            cut: false,
            messages: 0,
        }
    }

    fn post(&mut self, from: usize, sends: Vec<LimitEnvelope>, now: Timestamp) {
        for send in sends {
            let to = index_of(&send.to);
            let is_local = from == to;
            let due = if is_local { now } else { now.after(LATENCY) };
            self.messages += u64::from(!is_local);
            let half = self.borrowers.len() / 2;
            if self.cut && (from < half) != (to < half) {
                continue;
            }
            self.network.entry(due).or_default().push_back(Envelope {
                from,
                to,
                message: send.message,
            });
        }
    }

    fn receive(&mut self, envelope: Envelope, now: Timestamp, decided: &mut Vec<(usize, bool)>) {
        let Envelope { from, to, message } = envelope;
        let from = node_name(from);
        let mut sends = Vec::new();
        if let LimitMessage::Grant(grant) = &message {
            self.borrowers[to].receive(&from, grant, now, &mut sends);
            self.post(to, sends, now);
            let tenant = self.tenants.iter().position(|name| *name == grant.tenant);
            if let Some(tenant) = tenant {
                self.retry(to, tenant, now, decided);
            }
            return;
        }
        let event = LimitAllocatorEvent::Received { from, message };
        self.banks[to].handle(event, now, &mut sends);
        self.post(to, sends, now);
    }

    fn retry(
        &mut self,
        node: usize,
        tenant: usize,
        now: Timestamp,
        decided: &mut Vec<(usize, bool)>,
    ) {
        let mut left = self.waiting.remove(&(node, tenant)).unwrap_or_default();
        while left > 0 {
            let mut sends = Vec::new();
            let name = &self.tenants[tenant];
            let cost = LimitCost::of_request(1);
            let decision = self.borrowers[node].retry(name, &cost, now, &mut sends);
            self.post(node, sends, now);
            if decision == LimitDecision::Waiting {
                self.waiting.insert((node, tenant), left);
                return;
            }
            left -= 1;
            decided.push((tenant, decision == LimitDecision::Allowed));
        }
    }

    fn tick(&mut self, now: Timestamp, decided: &mut Vec<(usize, bool)>) {
        for node in 0..self.borrowers.len() {
            let mut sends = Vec::new();
            self.borrowers[node].tick(now, &mut sends);
            self.post(node, sends, now);
        }
        let waiting: Vec<(usize, usize)> = self.waiting.keys().copied().collect();
        for (node, tenant) in waiting {
            self.retry(node, tenant, now, decided);
        }
    }
}

impl Scheme for MovedTickets {
    fn request(&mut self, node: usize, tenant: usize, now: Timestamp) -> Verdict {
        let mut sends = Vec::new();
        let name = &self.tenants[tenant];
        let cost = LimitCost::of_request(1);
        let decision = self.borrowers[node].try_spend(name, &cost, now, &mut sends);
        self.post(node, sends, now);
        match decision {
            LimitDecision::Allowed => Verdict::Admitted,
            LimitDecision::Denied { .. } => Verdict::Refused,
            LimitDecision::Waiting => {
                *self.waiting.entry((node, tenant)).or_default() += 1;
                Verdict::Later
            }
        }
    }

    fn advance(&mut self, now: Timestamp, decided: &mut Vec<(usize, bool)>) {
        while let Some(entry) = self.network.first_entry() {
            if *entry.key() > now {
                break;
            }
            for envelope in entry.remove() {
                self.receive(envelope, now, decided);
            }
        }
        if now >= self.tick_at {
            self.tick_at = now.after(BORROWER_TICK);
            self.tick(now, decided);
        }
    }

    fn set_cut(&mut self, cut: bool, _now: Timestamp) {
        self.cut = cut;
    }

    fn messages(&self) -> u64 {
        self.messages
    }
}

fn catalog(nodes: usize, tenants: usize, limit: u64) -> Catalog {
    let record = |name: &TenantName| Tenant {
        name: name.clone(),
        api_key_hashes: Vec::new(),
        weight: 1,
        limits: TenantLimits {
            requests_per_second: u32::try_from(limit).ok(),
            ..TenantLimits::default()
        },
        version: ResourceVersion(1),
    };
    let groups = (nodes / BANKS).clamp(1, MAX_GROUPS);
    // Every group has banks all over the nodes, as groups have over zones.
    let group = |index: usize| KeeperGroup {
        epoch: 1,
        keepers: (0..BANKS)
            .map(|bank| node_name((index + bank * groups) % nodes))
            .collect(),
        previous: Vec::new(),
    };
    Catalog {
        tenants: (0..tenants)
            .map(|tenant| TenantName::new(format!("tenant-{tenant:03}")))
            .map(|name| (name.clone(), record(&name)))
            .collect(),
        claim_roster: ClaimRoster {
            founded_at: None,
            groups: (0..groups).map(group).collect(),
            version: ResourceVersion(1),
        },
        ..Catalog::default()
    }
}
