//! Releases under the lease of orders itself, on a virtual clock: two nodes that tell each other what they know.

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use ryerouter_core::release::{Outcome, Stage};
use ryerouter_gateway::rollout::run_rollouts;
use support::gateway_bench::run_paused;
use support::no_orders::NoOrders;
use support::one_lease::{OneLease, SETTINGS};
use support::release_node::ReleaseNode;
use support::release_orders::ReleaseOrders;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;

const RAMP: Duration = Duration::from_secs(20);
/// Time between the messages of the nodes.
const HEARTBEAT: Duration = Duration::from_millis(300);

/// A node that asks for the lease when it is needed.
struct LeasedNode {
    node: ReleaseNode,
    rollouts: JoinHandle<()>,
    is_alive: Cell<bool>,
}

impl LeasedNode {
    fn start(name: &str, orders: &Rc<ReleaseOrders>, lease: &Rc<OneLease>) -> Rc<Self> {
        let node = ReleaseNode::start(name, orders);
        let (gateway, lease) = (Rc::clone(&node.gateway), Rc::clone(lease));
        let rollouts = spawn_local(run_rollouts(gateway, lease, Rc::new(NoOrders), SETTINGS));
        Rc::new(Self {
            node,
            rollouts,
            is_alive: Cell::new(true),
        })
    }

    fn kill(&self) {
        self.node.kill();
        self.rollouts.abort();
        self.is_alive.set(false);
    }

    fn tell(&self, other: &Self) {
        if !self.is_alive.get() || !other.is_alive.get() {
            return;
        }
        let (own, other) = (&self.node.gateway, &other.node.gateway);
        other.receive_peer_message(own.peer_message(true));
        for grant in own.known_grants() {
            other.apply_recorded_grant(grant);
        }
    }
}

async fn talk(one: Rc<LeasedNode>, other: Rc<LeasedNode>) {
    loop {
        one.tell(&other);
        other.tell(&one);
        sleep(HEARTBEAT).await;
    }
}

#[test]
fn release_goes_on_when_the_holder_of_the_lease_is_killed() {
    run_paused(async {
        let orders = Rc::new(ReleaseOrders::default());
        let lease = Rc::new(OneLease::default());
        let first = LeasedNode::start("node-1", &orders, &lease);
        let second = LeasedNode::start("node-2", &orders, &lease);
        let talking = spawn_local(talk(Rc::clone(&first), Rc::clone(&second)));
        sleep(Duration::from_secs(5)).await;
        assert!(!lease.has_holder(), "nothing needs it");
        orders.order("a", "v2", RAMP);
        let taken = first.node.until_stage("a", Stage::Trial).await;
        assert!(taken < Duration::from_secs(2), "{taken:?}");
        sleep(Duration::from_secs(3)).await;
        assert_eq!(first.node.gateway.valid_order_fence(), Some(1));
        assert!(!second.node.gateway.has_release_work());
        first.kill();
        sleep(Duration::from_secs(8)).await;
        let (grant, age) = second.node.grant("a").expect("grant");
        assert_eq!(grant.fence, 2);
        assert!(age < Duration::from_millis(400), "{age:?}");
        assert!(grant.elapsed > Duration::from_secs(9), "{grant:?}");
        second.node.until_stage("a", Stage::Completed).await;
        let record = orders.record_of("a").expect("record");
        assert_eq!(record.outcome, Outcome::Completed);
        sleep(Duration::from_secs(10)).await;
        assert_eq!(
            second.node.gateway.valid_order_fence(),
            None,
            "nothing needs it"
        );
        talking.abort();
    });
}
