//! Connections to the object API that fall silent for good while new ones work.

mod control_support;

use control_support::{
    Fault, ObjectApi, TestNode, TestNodeOptions, create_tenant, within_deadline,
};
use ryerouter_node::platform::{ObjectClient, ObjectCondition, PlatformError, PlatformLimits};

#[tokio::test]
async fn silent_connections_cost_one_call() {
    let api = ObjectApi::start().await;
    let client = ObjectClient::new(api.address, PlatformLimits::default());
    let calls = async {
        while api.connections() < 2 {
            let (first, second) = tokio::join!(client.list(""), client.list(""));
            first.unwrap();
            second.unwrap();
        }
    };
    within_deadline(calls).await;
    api.silence_open_connections();

    let unanswered = client.list("").await;
    assert!(
        matches!(unanswered, Err(PlatformError::TimedOut { .. })),
        "{unanswered:?}"
    );
    client.list("").await.unwrap();
}

#[tokio::test]
async fn a_watch_goes_on_when_a_call_beside_it_is_not_answered() {
    let api = ObjectApi::start().await;
    let client = ObjectClient::new(api.address, PlatformLimits::default());
    let mut watch = client.watch("", 1).await.unwrap();
    api.set_fault(Fault::Unanswered);
    let unanswered = client.list("").await;
    assert!(
        matches!(unanswered, Err(PlatformError::TimedOut { .. })),
        "{unanswered:?}"
    );
    api.set_fault(Fault::None);

    client.put("a", &1, ObjectCondition::Absent).await.unwrap();

    let change = within_deadline(watch.next()).await.unwrap();
    assert_eq!(change.key, "a");
}

#[tokio::test]
async fn a_change_is_accepted_while_kept_connections_are_silent() {
    let api = ObjectApi::start().await;
    let node = TestNode::start(TestNodeOptions::new("a", api.address));
    node.until_serving().await;
    let mut tenants = node.tenants().await;
    let request = create_tenant("mahoe", "change-1");
    tenants.create_tenant(request).await.unwrap();
    api.silence_open_connections();

    let request = create_tenant("callaghan", "change-2");
    tenants.create_tenant(request).await.unwrap();
    node.until_version(2).await;
}
