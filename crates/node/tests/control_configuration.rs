//! Configuration over real sockets: operator RPC, object API and peers.

mod control_support;

use control_support::{
    Fault, ObjectApi, TestNode, TestNodeOptions, create_tenant, within_deadline, write_options,
};
use ryerouter_wire::generated::v1;
use ryerouter_wire::rpc::error_details;
use tonic::Code;

#[tokio::test]
async fn an_accepted_tenant_is_in_the_object_api_and_readable() {
    let api = ObjectApi::start().await;
    let node = TestNode::start(TestNodeOptions::new("a", api.address));
    node.until_serving().await;
    let mut tenants = node.tenants().await;

    let request = create_tenant("mahoe", "change-1");
    let written = tenants.create_tenant(request).await.unwrap().into_inner();

    assert_eq!(written.receipt.unwrap().config_version, 1);
    assert_eq!(written.tenant.unwrap().version, 1);
    assert_eq!(api.keys(), ["config/log/00000000000000000001"]);
    let listed = tenants.list_tenants(v1::ListTenantsRequest {}).await;
    let listed = listed.unwrap().into_inner();
    assert_eq!(listed.config_version, 1);
    assert_eq!(listed.tenants[0].name, "mahoe");
    let name = "mahoe".to_owned();
    let found = tenants.get_tenant(v1::GetTenantRequest { name }).await;
    assert_eq!(found.unwrap().into_inner().version, 1);
}

#[tokio::test]
async fn a_change_whose_answer_is_lost_is_made_once() {
    let api = ObjectApi::start().await;
    let node = TestNode::start(TestNodeOptions::new("a", api.address));
    node.until_serving().await;
    let mut tenants = node.tenants().await;

    api.set_fault(Fault::WriteAnswersLost);
    let request = create_tenant("mahoe", "change-1");
    let written = tenants.create_tenant(request).await.unwrap().into_inner();
    assert_eq!(written.receipt.unwrap().config_version, 1);
    api.set_fault(Fault::None);
    let request = create_tenant("mahoe", "change-1");
    let repeated = tenants.create_tenant(request).await.unwrap().into_inner();

    let receipt = repeated.receipt.unwrap();
    assert!(receipt.already_made);
    assert_eq!(receipt.config_version, 1);
    assert_eq!(api.writes(), 1);
}

#[tokio::test]
async fn a_stale_version_is_refused_with_who_was_first() {
    let api = ObjectApi::start().await;
    let node = TestNode::start(TestNodeOptions::new("a", api.address));
    node.until_serving().await;
    let mut tenants = node.tenants().await;
    let request = create_tenant("mahoe", "change-1");
    let created = tenants.create_tenant(request).await.unwrap().into_inner();
    let tenant = created.tenant.unwrap();
    let update = |change_id: &str| v1::UpdateTenantRequest {
        tenant: Some(v1::Tenant {
            weight: 2,
            ..tenant.clone()
        }),
        options: Some(write_options(1, change_id)),
    };
    tenants.update_tenant(update("change-2")).await.unwrap();

    let refused = tenants.update_tenant(update("change-3")).await.unwrap_err();

    assert_eq!(refused.code(), Code::Aborted);
    let conflict = error_details(&refused).conflict.unwrap();
    assert_eq!(conflict.expected_version, 1);
    assert_eq!(conflict.current_version, 2);
    assert_eq!(conflict.current_change_id, "change-2");
    assert_eq!(conflict.current_author, "test");
}

#[tokio::test]
async fn a_bad_field_is_refused_with_field_value_and_reason() {
    let api = ObjectApi::start().await;
    let node = TestNode::start(TestNodeOptions::new("a", api.address));
    node.until_serving().await;
    let mut tenants = node.tenants().await;

    let request = create_tenant("no spaces", "");
    let refused = tenants.create_tenant(request).await.unwrap_err();

    assert_eq!(refused.code(), Code::InvalidArgument);
    let violation = &error_details(&refused).violations[0];
    assert_eq!(violation.field, "tenant.name");
    assert_eq!(violation.value, "no spaces");
    assert!(!violation.reason.is_empty());
    assert_eq!(api.writes(), 0);
}

#[tokio::test]
async fn a_gap_in_the_watch_hides_no_change_for_good() {
    let api = ObjectApi::start().await;
    let writer = TestNode::start(TestNodeOptions::new("a", api.address));
    let reader = TestNode::start(TestNodeOptions::new("b", api.address));
    writer.until_serving().await;
    reader.until_serving().await;
    let mut tenants = writer.tenants().await;

    api.hide_next_change();
    let request = create_tenant("mahoe", "change-1");
    tenants.create_tenant(request).await.unwrap();
    let request = create_tenant("callaghan", "change-2");
    tenants.create_tenant(request).await.unwrap();
    reader.until_version(2).await;

    api.compact();
    let request = create_tenant("third", "change-3");
    tenants.create_tenant(request).await.unwrap();
    reader.until_version(3).await;
}

#[tokio::test]
async fn a_watching_operator_sees_every_change_in_order() {
    let api = ObjectApi::start().await;
    let node = TestNode::start(TestNodeOptions::new("a", api.address));
    node.until_serving().await;
    let mut tenants = node.tenants().await;
    let request = create_tenant("first", "change-1");
    tenants.create_tenant(request).await.unwrap();

    let request = v1::WatchRequest { after_version: 0 };
    let watch = node.configuration().await.watch(request).await;
    let mut watch = watch.unwrap().into_inner();
    let request = create_tenant("second", "change-2");
    tenants.create_tenant(request).await.unwrap();

    for (version, change_id) in [(1, "change-1"), (2, "change-2")] {
        let event = within_deadline(watch.message()).await.unwrap().unwrap();
        assert_eq!(event.config_version, version);
        assert_eq!(event.change_id, change_id);
    }
}
