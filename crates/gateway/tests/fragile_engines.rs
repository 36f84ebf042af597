//! Engines that fall when they have to refuse too many requests in a second, with all that runs on them.

mod support;

use std::time::Duration;

use ryerouter_gateway::catalogue::RequestKind;
use support::fragile_nodes::{Demand, FragileNodes};
use support::gateway_bench::{run, run_in_virtual_time};
use tokio::time::Instant;
use yare::parameterized;

const ENGINES: usize = 8;
/// Two, and a tenth of the engines.
const MOST_FALLS: usize = 2;
/// Load before engines say that they are fragile, at nodes that have just started and at others.
const CALM: Duration = Duration::from_secs(1);
const LONG_CALM: Duration = Duration::from_millis(3_100);
/// From this time after they have said so engines may let fewer requests wait.
const NOTICE: Duration = Duration::from_secs(3);
const SPAN: Duration = Duration::from_secs(6);
/// All requests are served again within this time after the end.
const RETURN: Duration = Duration::from_secs(2);
const JUDGED: Duration = Duration::from_secs(2);
/// Least share of requests served at up to half of what the engines can do, and above.
const LEAST_SERVED: f64 = 0.98;
const LEAST_SERVED_UNDER_LOAD: f64 = 0.79;
/// What engines that refuse nothing may serve less than they could.
const TOLERANCE: f64 = 0.05;
/// Load before engines are fragile, at most.
const USUAL_LOAD: f64 = 0.8;
/// Something may happen so often while engines are fragile.
const STEPS: usize = 6;

/// What happens while engines are fragile.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Event {
    Nothing,
    /// Nodes are replaced one after the other.
    Replaced,
    /// All nodes are replaced at once.
    AllReplaced,
    /// A node hears no other node.
    Cut,
}

/// Fragile engines, and what is asked of them.
#[derive(Debug, Clone, Copy)]
struct Case {
    nodes: usize,
    load: f64,
    kind: RequestKind,
    max_refusals: usize,
    fragile: usize,
    event: Event,
    /// Whether callers ask for that much before the engines are fragile as well.
    is_loaded_before: bool,
}

const PLAIN: Case = Case {
    nodes: 4,
    load: 0.8,
    kind: RequestKind::Safe,
    max_refusals: 3,
    fragile: ENGINES,
    event: Event::Nothing,
    is_loaded_before: false,
};
const MODEL: Case = Case {
    kind: RequestKind::Streaming,
    ..PLAIN
};

/// Least share of the requests of a load that must be served.
fn least_served(load: f64) -> f64 {
    match load {
        ..=0.5 => LEAST_SERVED,
        ..=1.0 => LEAST_SERVED_UNDER_LOAD,
        _ => 1.0 / load - TOLERANCE,
    }
}

/// Plays a case for a while; returns the number of falls and the shares served meanwhile and afterwards, as text too.
async fn play(case: Case) -> (usize, f64, f64, String) {
    let is_model = case.kind == RequestKind::Streaming;
    let demand = Demand {
        load: case.load,
        is_model,
    };
    let mut nodes = FragileNodes::start(case.nodes, ENGINES, case.kind).await;
    // Callers ask for more than the engines can do only once these are fragile.
    let before = Demand {
        load: match case.is_loaded_before {
            true => case.load,
            false => case.load.min(USUAL_LOAD),
        },
        ..demand
    };
    let calm = match case.is_loaded_before {
        true => LONG_CALM,
        false => CALM,
    };
    nodes.load(before, calm).await;
    let noticed = Instant::now();
    nodes.become_fragile(case.fragile, case.max_refusals);
    nodes.load(before, NOTICE).await;
    nodes.pool.terms.queue.set(0);
    let from = Instant::now();
    for step in 0..STEPS {
        match case.event {
            Event::Nothing => {}
            Event::Replaced => nodes.replace(step % case.nodes).await,
            Event::AllReplaced if step == 1 => {
                for index in 0..case.nodes {
                    nodes.cut(index);
                }
                for index in 0..case.nodes {
                    nodes.replace(index).await;
                }
            }
            Event::Cut if step == 1 => nodes.cut(0),
            Event::AllReplaced | Event::Cut => {}
        }
        nodes.load(demand, SPAN / STEPS as u32).await;
    }
    let until = Instant::now();
    nodes.pool.recover();
    nodes.load(demand, RETURN).await;
    let returned = Instant::now();
    nodes.load(demand, JUDGED).await;
    let end = Instant::now();
    nodes.settle().await;
    let outcomes = nodes.outcomes.borrow();
    let fell: Vec<_> = nodes
        .pool
        .falls()
        .iter()
        .map(|at| (*at - noticed).as_secs_f32())
        .collect();
    let (falls, refused) = (fell.len(), nodes.pool.refused());
    let (served, then) = (outcomes.served(from, until), outcomes.served(returned, end));
    let report = format!(
        "{falls} falls {fell:?}, {refused} refusals while fragile, served {served:.3}, then {then:.3}; others {:?}, then {:?}",
        outcomes.unserved(from, until),
        outcomes.unserved(returned, end),
    );
    println!("{case:?}: {report}");
    (falls, served, then, report)
}

/// Requests must not fell engines one after the other: all nodes together may send them no more than they have room for.
#[parameterized(
    plain = { PLAIN },
    plain_at_many_nodes = { Case { nodes: 24, ..PLAIN } },
    plain_light_at_many_nodes = { Case { nodes: 16, load: 0.4, ..PLAIN } },
    plain_very_light = { Case { load: 0.3, max_refusals: 0, ..PLAIN } },
    plain_of_two_nodes = { Case { nodes: 2, load: 0.5, kind: RequestKind::Unsafe, ..PLAIN } },
    plain_without_any_refusal = { Case { load: 0.5, max_refusals: 0, ..PLAIN } },
    plain_overloaded_at_the_notice = { Case { load: 1.6, is_loaded_before: true, ..PLAIN } },
    plain_overloaded = { Case { load: 1.6, ..PLAIN } },
    plain_alone_overloaded = { Case { nodes: 1, load: 1.2, max_refusals: 0, ..PLAIN } },
    plain_half_of_the_engines = { Case { fragile: ENGINES / 2, ..PLAIN } },
    model = { MODEL },
    model_light = { Case { load: 0.5, max_refusals: 1, ..MODEL } },
    model_very_light = { Case { load: 0.3, nodes: 12, ..MODEL } },
    model_overloaded = { Case { nodes: 12, load: 1.6, max_refusals: 10, ..MODEL } },
    model_one_engine = { Case { load: 0.5, fragile: 1, max_refusals: 0, ..MODEL } },
)]
fn engines_fall_under_requests_that_they_refuse(case: Case) {
    run_in_virtual_time(async {
        let (falls, served, then, report) = play(case).await;
        assert!(falls <= MOST_FALLS, "{report}");
        assert!(served >= least_served(case.load), "{report}");
        assert!(case.load > 1.0 || then >= LEAST_SERVED, "{report}");
    });
}

/// The same while nodes come and go, so that they differ in what they know of the engines and of each other.
#[parameterized(
    nodes_replaced = { Case { load: 0.5, event: Event::Replaced, ..PLAIN } },
    nodes_replaced_model = { Case { load: 0.5, event: Event::Replaced, ..MODEL } },
    all_replaced = { Case { load: 0.5, event: Event::AllReplaced, ..PLAIN } },
    node_cut = { Case { load: 0.4, event: Event::Cut, ..PLAIN } },
)]
fn engines_fall_while_nodes_come_and_go(case: Case) {
    run_in_virtual_time(async {
        let (falls, served, _, report) = play(case).await;
        assert!(falls <= MOST_FALLS, "{report}");
        // A node that hears no other one refuses what needs a permit.
        let is_heard = case.event != Event::Cut;
        assert!(!is_heard || served >= LEAST_SERVED, "{report}");
    });
}

/// On the machine's clock all nodes are late when other programs take the processor, and serve less. Engines must not
/// fall then either.
#[parameterized(
    plain_at_many_nodes = { Case { nodes: 24, ..PLAIN } },
    model_overloaded = { Case { nodes: 12, load: 1.6, max_refusals: 10, ..MODEL } },
)]
fn engines_fall_while_nodes_are_late(case: Case) {
    run(async {
        let (falls, _, _, report) = play(case).await;
        assert!(falls <= MOST_FALLS, "{report}");
    });
}
