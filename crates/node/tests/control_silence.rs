//! Connections to the object API that fall silent for good while new ones work.

mod control_support;

use control_support::{ObjectApi, TestNode, TestNodeOptions, create_tenant, within_deadline};
use ryerouter_node::platform::{ObjectClient, PlatformError, PlatformLimits};

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
