//! Runs the comparison.

use std::collections::VecDeque;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ryerouter_core::Timestamp;

use super::central_count::CentralCount;
use super::moved_tickets::MovedTickets;
use super::shared_rates::SharedRates;
use super::static_split::StaticSplit;
use super::{LoadPattern, RunReport, Scheme, Verdict};

const START: Timestamp = Timestamp::from_millis(1_000_000);
const STEP: Duration = Duration::from_millis(2);
const STEPS_PER_SECOND: u64 = 500;
const ONE_SECOND: Duration = Duration::from_secs(1);
const OVERSHOOT_WINDOW: Duration = Duration::from_secs(10);
/// Demand of tenants in hundredths of their limits: every second one wants more than it may have.
const DEMAND_PERCENT: [u64; 2] = [70, 150];

/// Size of the comparison.
#[derive(Debug, Clone, Copy)]
pub struct LimitsOptions {
    /// Router nodes.
    pub nodes: usize,
    /// Tenants.
    pub tenants: usize,
    /// Requests a second that each tenant may make.
    pub limit: u64,
    /// Virtual seconds.
    pub seconds: u64,
    /// Seed of the run.
    pub seed: u64,
}

/// Times of admitted requests of one tenant.
#[derive(Debug, Default, Clone)]
struct Admissions {
    last_second: VecDeque<Timestamp>,
    window: VecDeque<Timestamp>,
    most: usize,
}

/// Runs every scheme under every load, with the same arrivals for all schemes of a load.
pub fn run(options: LimitsOptions) -> Vec<RunReport> {
    let mut reports = Vec::new();
    for load in LoadPattern::ALL {
        let LimitsOptions {
            nodes,
            tenants,
            limit,
            ..
        } = options;
        let split = StaticSplit::new(nodes, tenants, limit, START);
        reports.push(measure("static split", load, split, options));
        let central = CentralCount::new(nodes, tenants, limit, START);
        reports.push(measure("central count", load, central, options));
        let moved = MovedTickets::new(nodes, tenants, limit, START);
        reports.push(measure("moved tickets", load, moved, options));
        let shared = SharedRates::new(nodes, tenants, limit, START);
        reports.push(measure("shared rates", load, shared, options));
    }
    reports
}

fn measure(
    name: &'static str,
    load: LoadPattern,
    mut scheme: impl Scheme,
    options: LimitsOptions,
) -> RunReport {
    let mut random = ChaCha8Rng::seed_from_u64(options.seed);
    let mut admissions = vec![Admissions::default(); options.tenants];
    let mut now = START;
    let mut requests = 0;
    let mut false_refusals = 0;
    let mut decided = Vec::new();
    for step in 0..options.seconds * STEPS_PER_SECOND {
        let second = step / STEPS_PER_SECOND;
        now = now.after(STEP);
        scheme.set_cut(load.is_cut(second), now);
        scheme.advance(now, &mut decided);
        for (tenant, limit_percent) in (0..options.tenants).zip(DEMAND_PERCENT.iter().cycle()) {
            let per_second = options.limit * limit_percent * load.surge(second) / 100;
            for _ in 0..arrivals(per_second, &mut random) {
                requests += 1;
                let node = load.node(tenant, second, options.nodes, &mut random);
                match scheme.request(node, tenant, now) {
                    Verdict::Admitted => decided.push((tenant, true)),
                    Verdict::Refused => decided.push((tenant, false)),
                    Verdict::Later => {}
                }
            }
        }
        for (tenant, admitted) in decided.drain(..) {
            let room = admissions[tenant].has_room(options.limit, now);
            if admitted {
                admissions[tenant].note(now);
            } else if room {
                false_refusals += 1;
            }
        }
    }
    let most = admissions.iter().map(|tenant| tenant.most).max();
    let allowed = options.limit * OVERSHOOT_WINDOW.as_secs();
    let node_seconds = (options.nodes as u64 * options.seconds) as f64;
    RunReport {
        scheme: name,
        load: load.name(),
        requests,
        false_refusals_percent: 100.0 * false_refusals as f64 / requests.max(1) as f64,
        most_in_ten_seconds_percent: 100.0 * most.unwrap_or_default() as f64 / allowed as f64,
        messages_per_second_per_node: scheme.messages() as f64 / node_seconds,
    }
}

/// Arrivals in one step: as many tries as steps in a second would bring one each, or more.
fn arrivals(per_second: u64, random: &mut ChaCha8Rng) -> u64 {
    let whole = per_second / STEPS_PER_SECOND;
    let rest = per_second % STEPS_PER_SECOND;
    whole + u64::from(random.random_range(0..STEPS_PER_SECOND) < rest)
}

impl Admissions {
    fn has_room(&mut self, limit: u64, now: Timestamp) -> bool {
        drop_older(&mut self.last_second, ONE_SECOND, now);
        (self.last_second.len() as u64) < limit
    }

    fn note(&mut self, now: Timestamp) {
        self.last_second.push_back(now);
        self.window.push_back(now);
        drop_older(&mut self.window, OVERSHOOT_WINDOW, now);
        self.most = self.most.max(self.window.len());
    }
}

fn drop_older(times: &mut VecDeque<Timestamp>, than: Duration, now: Timestamp) {
    while times.front().is_some_and(|time| now.since(*time) >= than) {
        times.pop_front();
    }
}
