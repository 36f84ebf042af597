//! Nodes that lose their links to all engines, while other nodes reach them.

mod support;

use std::rc::Rc;
use std::time::Duration;

use ryerouter_gateway::catalogue::RequestKind;
use support::engine_proxy::Link;
use support::gateway_bench::run;
use support::linked_nodes::LinkedNodes;
use support::records::{route, table};
use yare::parameterized;

const NODES: usize = 4;
const ENGINES: usize = 3;
/// Requests come for this time before a cut.
const CALM: Duration = Duration::from_millis(800);
/// From this time after a cut on, the promise holds.
const NOTICE: Duration = Duration::from_secs(2);
const SPAN: Duration = Duration::from_millis(1_500);
/// All is as before within this time after a cut has ended.
const RETURN: Duration = Duration::from_secs(1);

async fn start(kind: RequestKind) -> LinkedNodes {
    LinkedNodes::start(NODES, ENGINES, || table(1, vec![route(kind)])).await
}

/// Least share of requests served at these nodes.
fn least(shares: &[f64]) -> f64 {
    shares.iter().copied().fold(1.0, f64::min)
}

/// Callers of a node without a way to any engine must be served about as well as those of the others.
#[parameterized(
    silent_one = { Link::Silent, 1, RequestKind::Unsafe },
    silent_half = { Link::Silent, 2, RequestKind::Safe },
    silent_all_but_one = { Link::Silent, 3, RequestKind::Unsafe },
    reset_half = { Link::Reset, 2, RequestKind::Unsafe },
    reset_all_but_one = { Link::Reset, 3, RequestKind::Safe },
    late_reset_half = { Link::LateReset, 2, RequestKind::Unsafe },
    late_reset_all_but_one = { Link::LateReset, 3, RequestKind::Safe },
    lingering_half = { Link::Lingering, 2, RequestKind::Unsafe },
)]
fn callers_of_nodes_that_reach_no_engine_are_served(link: Link, cut: usize, kind: RequestKind) {
    run(async {
        let nodes = start(kind).await;
        nodes.load(CALM).await;
        for node in &nodes.nodes[..cut] {
            node.set_links(link);
        }
        nodes.load(NOTICE).await;
        let shares = nodes.load(SPAN).await;
        assert!(least(&shares[cut..]) >= 0.99, "other nodes: {shares:?}");
        assert!(least(&shares[..cut]) >= 0.95, "cut nodes: {shares:?}");
        for node in &nodes.nodes[..cut] {
            node.set_links(Link::Open);
        }
        nodes.load(RETURN).await;
        let shares = nodes.load(SPAN).await;
        assert!(least(&shares) >= 0.99, "after the cut: {shares:?}");
    });
}

/// A node that has no requests of its own does not know that it is cut off, and opens tunnels that are reset.
#[test]
fn requests_do_not_go_on_through_a_node_whose_tunnels_break() {
    run(async {
        let table = || table(1, vec![route(RequestKind::Unsafe)]);
        let nodes = LinkedNodes::start(NODES, ENGINES, table).await;
        nodes.nodes[0].set_links(Link::Silent);
        for node in &nodes.nodes[1..NODES - 1] {
            node.set_links(Link::LateReset);
        }
        let asking = &nodes.nodes[0];
        Rc::clone(asking).served_share(NOTICE).await;
        let share = Rc::clone(asking).served_share(2 * SPAN).await;
        assert!(share >= 0.95, "{share}");
    });
}
