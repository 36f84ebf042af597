//! Nodes while the object API is down.

mod control_support;

use control_support::{Fault, ObjectApi, TestNode, TestNodeOptions, create_tenant};
use ryerouter_wire::generated::v1;

#[tokio::test]
async fn a_change_reaches_a_node_that_cannot_reach_the_object_api() {
    let api = ObjectApi::start().await;
    let dead_api = ObjectApi::start().await;
    dead_api.set_fault(Fault::Down);
    let first = TestNode::start(TestNodeOptions::new("a", api.address));
    first.until_serving().await;
    let mut tenants = first.tenants().await;
    let request = create_tenant("mahoe", "change-1");
    tenants.create_tenant(request).await.unwrap();

    let seeds = [first.control.peer_address()];
    let options = TestNodeOptions::new("b", dead_api.address).seeds(&seeds);
    let second = TestNode::start(options.zone("zone-b"));
    second.until_serving().await;
    second.until_version(1).await;
    let request = create_tenant("callaghan", "change-2");
    tenants.create_tenant(request).await.unwrap();
    second.until_version(2).await;

    let mut tenants = second.tenants().await;
    let listed = tenants.list_tenants(v1::ListTenantsRequest {}).await;
    let listed = listed.unwrap().into_inner();
    let names: Vec<&str> = listed
        .tenants
        .iter()
        .map(|tenant| tenant.name.as_str())
        .collect();
    assert_eq!(names, ["callaghan", "mahoe"]);
}
