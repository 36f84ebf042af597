//! Orders to engines over real sockets.

mod control_support;

use control_support::{
    ObjectApi, OrderReply, ScriptedEngine, TestNode, TestNodeOptions, within_deadline,
};
use ryerouter_core::identity::{FencingNumber, Incarnation, WeightsVersion};
use ryerouter_core::order::{EngineOrder, EngineReport, FencedOrder, OrderAnswer};
use ryerouter_node::control::EngineCaller;
use ryerouter_node::platform::PlatformLimits;
use ryerouter_wire::generated::v1;
use yare::parameterized;

fn load_weights(version: u64) -> FencedOrder {
    FencedOrder {
        fencing_number: FencingNumber(3),
        order: EngineOrder::LoadWeights {
            weights_version: WeightsVersion(version),
        },
    }
}

#[parameterized(
    accepted = { Some((200, "{}")), OrderAnswer::Accepted },
    newer_director = {
        Some((409, "{\"fencing_number\":9}")),
        OrderAnswer::Superseded { newest: FencingNumber(9) }
    },
    unreadable_conflict = { Some((409, "what?")), OrderAnswer::Lost },
    refused = { Some((400, "{}")), OrderAnswer::Refused },
    failed = { Some((500, "{}")), OrderAnswer::Lost },
    closed_unanswered = { None, OrderAnswer::Lost },
)]
#[test_macro(tokio::test)]
async fn an_order_is_lost_unless_the_engine_says_otherwise(
    reply: OrderReply,
    expected: OrderAnswer,
) {
    let mut engine = ScriptedEngine::start(reply).await;
    let caller = EngineCaller::new(PlatformLimits::default());

    let answer = within_deadline(caller.order(engine.address, &load_weights(2))).await;

    assert_eq!(answer, expected);
    let body = engine.orders.recv().await.unwrap();
    let sent: FencedOrder = serde_json::from_str(&body).unwrap();
    assert_eq!(sent, load_weights(2));
    assert!(engine.orders.try_recv().is_err(), "an order is sent once");
}

#[tokio::test]
async fn a_load_report_tells_process_and_weights() {
    let engine = ScriptedEngine::start(None).await;
    let caller = EngineCaller::new(PlatformLimits::default());

    let report = within_deadline(caller.poll(engine.address)).await;

    let expected = EngineReport {
        incarnation: Incarnation(7),
        weights_version: WeightsVersion(1),
        draining: false,
    };
    assert_eq!(report, Some(expected));
}

#[tokio::test]
async fn an_engine_with_older_weights_is_told_to_load_those_of_its_pool() {
    let mut engine = ScriptedEngine::start(Some((200, "{}"))).await;
    let api = ObjectApi::start().await;
    let node = TestNode::start(TestNodeOptions::new("a", api.address).may_direct());
    node.until_serving().await;
    let pool = v1::Pool {
        name: "appraiser".to_owned(),
        kind: Some(v1::pool::Kind::Model(v1::ModelPool {
            model: "appraiser".to_owned(),
            weights_version: 2,
            ..v1::ModelPool::default()
        })),
        ..v1::Pool::default()
    };
    let back_end = v1::BackEnd {
        name: "engine-1".to_owned(),
        pool: "appraiser".to_owned(),
        address: engine.address.to_string(),
        data_centre: "centre".to_owned(),
        zone: "zone-a".to_owned(),
        state: v1::BackEndState::Active.into(),
        version: 0,
    };
    let mutation = |change| v1::Mutation {
        expected_version: Some(0),
        change: Some(change),
    };
    let request = v1::ApplyRequest {
        mutations: vec![
            mutation(v1::mutation::Change::Pool(pool)),
            mutation(v1::mutation::Change::BackEnd(back_end)),
        ],
        change_id: "engines".to_owned(),
        dry_run: false,
        author: "test".to_owned(),
    };
    node.configuration().await.apply(request).await.unwrap();

    let body = within_deadline(engine.orders.recv()).await.unwrap();

    let order: FencedOrder = serde_json::from_str(&body).unwrap();
    assert_eq!(order.order, load_weights(2).order);
    assert!(order.fencing_number > FencingNumber(0));
    assert!(api.keys().contains(&"lease/director".to_owned()));
}
