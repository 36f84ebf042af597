//! Releases of a good and of bad versions over a large deployment, from order to verdict.

mod support;

use std::rc::Rc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use ryerouter_core::release::{Progress, Stage, key_of};
use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::release::{AnswerEnd, AnswerTiming};
use support::fleet::{deliver, introduce};
use support::gateway_bench::{list_engines, run_paused};
use support::records::ZONE;
use support::releases::{
    PRESENT, SHARE, SLACK, TARGET, bounds, engine_of, new_node, order, place, pool, version_of,
};
use tokio::time::advance;
use yare::parameterized;

const NODES: usize = 12;
const ENGINES: usize = 20;
const TICK: Duration = Duration::from_millis(100);
const TICKS_PER_HEARTBEAT: usize = 3;
/// The ramp, and half of it on top.
const TICKS: usize = 180;
const REQUESTS_PER_TICK: usize = 3;
/// Share of all answers that fail anyway.
const USUAL_FAILURES: f64 = 0.01;

/// What is wrong with the target version.
#[derive(Debug, Clone, Copy)]
struct Fault {
    /// Share of its answers that fail ..
    failures: f64,
    /// .. how many times as long they take ..
    slowness: f64,
    /// .. and how long after the order that begins.
    after: Duration,
}

#[derive(Debug)]
struct End {
    stage: Stage,
    /// Requests that the target version got.
    sent: usize,
    /// All of them until the end.
    all: usize,
    ended_after: Duration,
    /// Requests that it got after the verdict.
    late: usize,
}

struct Play {
    nodes: Vec<Rc<Gateway>>,
    random: StdRng,
    fault: Fault,
    number: usize,
}

impl Play {
    async fn new(fault: Fault) -> Self {
        let zone_of = |index| if index < NODES / 2 { ZONE } else { "zone-b" };
        let nodes: Vec<_> = (0..NODES)
            .map(|index| new_node(index, zone_of(index)))
            .collect();
        for node in &nodes {
            let old = (0..ENGINES).map(|index| engine_of(&format!("old-{index}"), PRESENT));
            let new = (0..ENGINES).map(|index| engine_of(&format!("new-{index}"), TARGET));
            list_engines(node, old.chain(new).collect());
        }
        introduce(&nodes);
        Self {
            nodes,
            random: StdRng::seed_from_u64(7),
            fault,
            number: 0,
        }
    }

    /// One request at a node; whether it went to the target version.
    fn request(&mut self, node: usize, elapsed: Duration) -> bool {
        self.number += 1;
        let node = &self.nodes[node];
        let placement = place(node, &format!("r{}", self.number), &[]).expect("engine");
        let software = version_of(node, &placement.engine);
        let is_target = software == TARGET;
        let is_bad = is_target && elapsed >= self.fault.after;
        let slowness = if is_bad { self.fault.slowness } else { 1.0 };
        let failures = if is_bad {
            self.fault.failures
        } else {
            USUAL_FAILURES
        };
        // Times vary by a half up and down.
        let took = 0.04 * self.random.random_range(0.67..1.5) * slowness;
        let watch = AnswerTiming {
            pool: pool(),
            route: key_of("route"),
            engine: placement.engine,
            software,
            is_cold: false,
            is_stream: false,
            unread_tokens: 0,
            sent_at: node.clock().now().before(Duration::from_secs_f64(took)),
            first_event_at: None,
            events: 0,
            waited: Duration::ZERO,
            waiting_since: None,
        };
        let end = match self.random.random_bool(failures) {
            true => AnswerEnd::Failed,
            false => AnswerEnd::Whole { is_success: true },
        };
        node.note_release_answer(&watch, end);
        is_target
    }

    fn heartbeat(&mut self) {
        for from in &self.nodes {
            let message = from.peer_message(false);
            for receiver in from.peer_receivers(false, &mut self.random) {
                let is_it = |node: &&Rc<Gateway>| node.settings().identity.peer_address == receiver;
                let to = self.nodes.iter().find(is_it).expect("node");
                to.receive_peer_message(message.clone());
            }
        }
        for teller in [0, NODES / 2] {
            let parcel = self.nodes[teller].next_zone_update(true).expect("news");
            deliver(&self.nodes, vec![parcel]);
        }
    }
}

async fn play(fault: Fault) -> End {
    let mut play = Play::new(fault).await;
    let director = Rc::clone(&play.nodes[0]);
    let order = order(TARGET, 50);
    let begun_at = director.clock().now();
    let mut trial = Progress::new(order.clone(), bounds(), begun_at);
    let (mut sent, mut all, mut late) = (0, 0, 0);
    let mut ended_after = None;
    for tick in 0..TICKS {
        let now = director.clock().now();
        let elapsed = now.since(begun_at);
        let is_stage = trial.advance(
            &director.release_fleet(&order),
            &director.release_counts(&order),
            now,
        );
        if is_stage || tick % TICKS_PER_HEARTBEAT == 0 {
            director.publish_grant(trial.grant(50, 1, tick as u64 + 1, now));
            deliver(&play.nodes, director.next_urgent_updates());
        }
        if trial.stage().is_final() {
            ended_after.get_or_insert(elapsed);
        }
        for node in 0..NODES {
            play.nodes[node].refresh_releases();
            for _ in 0..REQUESTS_PER_TICK {
                let is_target = play.request(node, elapsed);
                all += usize::from(ended_after.is_none());
                sent += usize::from(is_target);
                late += usize::from(is_target && trial.stage() == Stage::RolledBack);
            }
        }
        if tick % TICKS_PER_HEARTBEAT == 0 {
            play.heartbeat();
        }
        advance(TICK).await;
    }
    End {
        stage: trial.stage(),
        sent,
        all,
        ended_after: ended_after.unwrap_or_default(),
        late,
    }
}

#[test]
fn good_version_is_completed_and_takes_all_requests() {
    run_paused(async {
        let end = play(Fault {
            failures: USUAL_FAILURES,
            slowness: 1.0,
            after: Duration::ZERO,
        })
        .await;
        assert_eq!(end.stage, Stage::Completed, "{end:?}");
        assert!(end.ended_after <= order(TARGET, 50).ramp, "{end:?}");
    });
}

#[parameterized(
    fails_now_and_then = { 0.15, 1.0, 0 },
    fails_always = { 1.0, 1.0, 0 },
    is_slow = { USUAL_FAILURES, 4.0, 0 },
    fails_after_a_while = { 0.3, 1.0, 4 },
)]
fn bad_version_is_rolled_back_within_its_share(failures: f64, slowness: f64, after_s: u64) {
    run_paused(async move {
        let end = play(Fault {
            failures,
            slowness,
            after: Duration::from_secs(after_s),
        })
        .await;
        assert_eq!(end.stage, Stage::RolledBack, "{end:?}");
        assert_eq!(end.late, 0, "{end:?}");
        let most = SHARE * end.all as f64 + SLACK;
        assert!(end.sent as f64 <= most, "{end:?}");
    });
}
