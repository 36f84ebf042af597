//! Claims on idempotency keys over real sockets.

mod control_support;

use std::time::Duration;

use control_support::{ObjectApi, TestNode, TestNodeOptions, within_deadline};
use ryerouter_core::Timestamp;
use ryerouter_core::claim::time_ordered_key;
use ryerouter_core::identity::{IdempotencyKey, RequestId, TenantName};
use ryerouter_node::clock::Clock;
use ryerouter_node::traffic::{ClaimDecision, ClaimGate, ClaimRequest};

/// Three nodes in three zones that have agreed on who keeps claims.
async fn cluster() -> Vec<TestNode> {
    let api = ObjectApi::start().await;
    let mut nodes: Vec<TestNode> = Vec::new();
    for (name, zone) in [("a", "zone-a"), ("b", "zone-b"), ("c", "zone-c")] {
        let seeds: Vec<_> = nodes
            .iter()
            .map(|node| node.control.peer_address())
            .collect();
        let options = TestNodeOptions::new(name, api.address).zone(zone);
        nodes.push(TestNode::start(options.seeds(&seeds).may_direct()));
    }
    for node in &nodes {
        node.until_roster().await;
    }
    nodes
}

fn request(key: &IdempotencyKey, request: &str) -> ClaimRequest {
    ClaimRequest {
        tenant: TenantName::new("callaghan"),
        key: key.clone(),
        request: RequestId::new(request),
        arrived_at: Timestamp::ZERO,
        deadline: None,
    }
}

/// A fresh key; `number` makes it differ from others of the same time.
fn fresh_key(number: u128) -> IdempotencyKey {
    time_ordered_key(Clock::start().now(), number)
}

/// Claims at a node until an answer other than a temporary one comes: a keeper that has not adopted
/// the roster yet can't vote.
async fn claim(node: &TestNode, claimed: &ClaimRequest) -> ClaimDecision {
    let gate = node.handle().claims();
    let decided = async {
        loop {
            match gate.claim(claimed.clone()).await {
                ClaimDecision::Unavailable { retry_after } => {
                    assert!(retry_after > Duration::ZERO);
                }
                decision => return decision,
            }
        }
    };
    within_deadline(decided).await
}

fn is_granted(decision: ClaimDecision) -> bool {
    matches!(decision, ClaimDecision::Granted { .. })
}

#[tokio::test]
async fn a_key_is_granted_to_one_node_until_it_gives_it_back() {
    let nodes = cluster().await;
    let key = fresh_key(1);
    assert!(is_granted(claim(&nodes[0], &request(&key, "first")).await));

    let second = request(&key, "second");
    assert_eq!(
        claim(&nodes[1], &second).await,
        ClaimDecision::AlreadyClaimed
    );
    assert_eq!(
        claim(&nodes[0], &second).await,
        ClaimDecision::AlreadyClaimed
    );

    nodes[0].handle().claims().release(request(&key, "first"));
    let regranted = async { while !is_granted(claim(&nodes[2], &second).await) {} };
    within_deadline(regranted).await;
}

#[tokio::test]
async fn a_key_stays_claimed_after_its_request_is_over() {
    let nodes = cluster().await;
    let key = fresh_key(2);
    assert!(is_granted(claim(&nodes[0], &request(&key, "first")).await));
    nodes[0].handle().claims().ended(request(&key, "first"));

    let second = request(&key, "second");
    assert_eq!(
        claim(&nodes[1], &second).await,
        ClaimDecision::AlreadyClaimed
    );
}

#[tokio::test]
async fn a_claim_that_nobody_waits_for_is_given_back() {
    let nodes = cluster().await;
    let key = fresh_key(3);
    let unwanted = nodes[0].handle().claims().claim(request(&key, "left"));
    drop(unwanted);

    let second = request(&key, "second");
    let granted = async { while !is_granted(claim(&nodes[1], &second).await) {} };
    within_deadline(granted).await;
}
