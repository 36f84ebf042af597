//! Tests of the conversions between the operator RPC and the core.

use ryerouter_core::catalog::{
    ApiKeyHash, BackEnd, BackEndState, MigrationStage, Pool, PoolKind, RollbackRule, StageState,
    Tenant, TenantLimits,
};
use ryerouter_core::config::{
    ChangeRefusal, Expectation, Mutation, Resource, ResourceReference, ValidationError,
};
use ryerouter_core::identity::{ChangeId, ResourceVersion, WeightsVersion};
use ryerouter_wire::generated::v1;
use ryerouter_wire::rpc::{InvalidMessage, RequestedChange, error_details, refusal_status};
use tonic::{Code, Status};
use yare::parameterized;

fn tenant() -> Tenant {
    Tenant {
        name: "estates".into(),
        api_key_hashes: vec![ApiKeyHash("ab".repeat(32))],
        weight: 3,
        limits: TenantLimits {
            requests_per_second: Some(5),
            tokens_per_second: None,
            concurrent_streams: Some(1),
        },
        version: ResourceVersion(9),
    }
}

fn pool() -> Pool {
    Pool {
        name: "appraiser-llm".into(),
        kind: PoolKind::Model {
            model: "appraiser/7b".into(),
            weights_version: WeightsVersion(4),
            adapters: vec!["letters".into()],
            weight_loads_at_once: 3,
        },
        kv_store: Some(([127, 0, 0, 1], 9_100).into()),
        version: ResourceVersion(2),
    }
}

fn back_end() -> BackEnd {
    BackEnd {
        name: "appraiser-1".into(),
        pool: "appraiser-llm".into(),
        address: ([127, 0, 0, 1], 9_001).into(),
        data_centre: "port-royal".into(),
        zone: "port-royal-a".into(),
        state: BackEndState::Draining,
        version: ResourceVersion(5),
    }
}

fn stage() -> MigrationStage {
    MigrationStage {
        name: "east".into(),
        pool: "appraiser-llm".into(),
        tenant: Some("estates".into()),
        source: "port-royal".into(),
        target: "new-kingston".into(),
        target_share_permille: 500,
        step_permille: 50,
        hold_seconds: 60,
        rollback_rule: RollbackRule {
            max_first_token_p99_ms: Some(900),
            max_error_permille: None,
            min_hit_rate_permille: Some(800),
        },
        state: StageState::Paused,
        version: ResourceVersion(6),
    }
}

#[parameterized(
    a_tenant = { Resource::Tenant(tenant()) },
    a_pool = { Resource::Pool(pool()) },
    a_service_pool = { Resource::Pool(Pool { kind: PoolKind::Service, kv_store: None, ..pool() }) },
    a_back_end = { Resource::BackEnd(back_end()) },
    a_stage = { Resource::Stage(stage()) },
    a_stage_of_all_tenants = { Resource::Stage(MigrationStage { tenant: None, ..stage() }) },
)]
fn resources_come_back_as_they_went(resource: Resource) {
    let expectations = [
        Expectation::Any,
        Expectation::Absent,
        Expectation::Version(ResourceVersion(7)),
    ];
    for expected in expectations {
        let mutation = Mutation::Put {
            resource: resource.clone(),
            expected,
        };
        let message = v1::Mutation::from(&mutation);
        assert_eq!(Mutation::try_from(message), Ok(mutation));
    }
}

fn fields(result: Result<impl Sized, InvalidMessage>) -> Vec<String> {
    let faults = result.err().map(|invalid| invalid.faults);
    let faults = faults.unwrap_or_default().into_iter();
    faults.map(|fault| fault.field).collect()
}

#[test]
fn every_fault_of_a_message_is_reported() {
    let message = v1::Tenant {
        name: "no spaces".to_owned(),
        api_key_hashes: vec!["ab".repeat(32), "rye-plain-key".to_owned()],
        weight: 0,
        limits: Some(v1::TenantLimits {
            tokens_per_second: Some(0),
            ..v1::TenantLimits::default()
        }),
        version: 0,
    };
    let expected = [
        "tenant.name",
        "tenant.api_key_hashes[1]",
        "tenant.weight",
        "tenant.limits.tokens_per_second",
    ];
    assert_eq!(fields(Tenant::try_from(message)), expected);
    let expected = [
        "back_end.name",
        "back_end.pool",
        "back_end.data_centre",
        "back_end.zone",
        "back_end.address",
    ];
    assert_eq!(fields(BackEnd::try_from(v1::BackEnd::default())), expected);
    let message = v1::Stage {
        target_share_permille: 1_001,
        state: 99,
        source: "a".to_owned(),
        target: "a".to_owned(),
        ..v1::Stage::from(&stage())
    };
    let expected = ["stage.target", "stage.target_share_permille", "stage.state"];
    assert_eq!(fields(MigrationStage::try_from(message)), expected);
    let expected = ["pool.name", "pool.kind"];
    assert_eq!(fields(Pool::try_from(v1::Pool::default())), expected);
}

#[test]
fn a_key_sent_in_place_of_its_hash_is_not_repeated() {
    let message = v1::Tenant {
        api_key_hashes: vec!["rye-plain-key".to_owned()],
        ..v1::Tenant::from(&tenant())
    };
    let invalid = Tenant::try_from(message).expect_err("a key is no hash");
    assert!(!Status::from(invalid).message().contains("plain-key"));
}

fn options(expected_version: u64, change_id: &str) -> Option<v1::WriteOptions> {
    Some(v1::WriteOptions {
        expected_version,
        change_id: change_id.to_owned(),
        dry_run: true,
        author: "ada".to_owned(),
    })
}

#[parameterized(
    good = { 0, "c1", &[] },
    no_change_id = { 0, "", &["options.change_id"] },
    expects_a_version = { 4, "c1", &["options.expected_version"] },
)]
fn a_creation_expects_that_there_is_nothing(version: u64, change_id: &str, faults: &[&str]) {
    let request = v1::CreateTenantRequest {
        tenant: Some((&tenant()).into()),
        options: options(version, change_id),
    };
    assert_eq!(fields(RequestedChange::try_from(request)), faults);
}

#[test]
fn updates_and_deletions_expect_the_version_that_was_read() {
    let request = v1::UpdatePoolRequest {
        pool: Some((&pool()).into()),
        options: options(0, "c1"),
    };
    let expected = ["options.expected_version"];
    assert_eq!(fields(RequestedChange::try_from(request)), expected);
    let request = v1::DeleteBackEndRequest {
        name: "appraiser-1".to_owned(),
        options: options(5, "c1"),
    };
    let requested = RequestedChange::try_from(request).expect("no faults");
    assert!(requested.dry_run);
    let expected = [Mutation::Delete {
        reference: ResourceReference::BackEnd("appraiser-1".into()),
        expected: Expectation::Version(ResourceVersion(5)),
    }];
    assert_eq!(requested.change.mutations, expected);
    let request = v1::UpdateStageRequest {
        stage: None,
        options: options(5, "c1"),
    };
    assert_eq!(fields(RequestedChange::try_from(request)), ["stage"]);
}

fn stale(expected: Expectation, actual: Option<ResourceVersion>) -> ChangeRefusal {
    ChangeRefusal::Stale {
        resource: ResourceReference::BackEnd("appraiser-1".into()),
        expected,
        actual,
        author: "grace".to_owned(),
        change_id: Some(ChangeId::new("c2")),
    }
}

#[parameterized(
    newer = {
        stale(Expectation::Version(ResourceVersion(4)), Some(ResourceVersion(5))), Code::Aborted
    },
    exists = { stale(Expectation::Absent, Some(ResourceVersion(5))), Code::AlreadyExists },
    gone = { stale(Expectation::Version(ResourceVersion(4)), None), Code::NotFound },
    store = {
        ChangeRefusal::StoreUnavailable { detail: "down".to_owned() }, Code::Unavailable
    },
    lost = { ChangeRefusal::OutcomeUnknown { detail: "lost".to_owned() }, Code::Unknown },
)]
fn a_refusal_tells_whether_anything_was_written(refusal: ChangeRefusal, code: Code) {
    assert_eq!(refusal_status(&refusal).code(), code);
}

#[test]
fn a_refusal_carries_its_details() {
    let expected = Expectation::Version(ResourceVersion(4));
    let newer = stale(expected, Some(ResourceVersion(5)));
    let details = error_details(&refusal_status(&newer));
    let conflict = details.conflict.expect("a conflict");
    assert_eq!(
        (conflict.expected_version, conflict.current_version),
        (4, 5)
    );
    assert_eq!(conflict.name, "appraiser-1");
    assert_eq!(conflict.current_author, "grace");
    assert_eq!(conflict.kind(), v1::ResourceKind::BackEnd);
    let fault = ValidationError {
        field: "pool".to_owned(),
        value: "x".to_owned(),
        reason: "there is none".to_owned(),
    };
    let invalid = ChangeRefusal::Invalid {
        faults: vec![fault.clone()],
    };
    let violations = error_details(&refusal_status(&invalid)).violations;
    let violations = violations.into_iter().map(Into::into);
    assert_eq!(violations.collect::<Vec<ValidationError>>(), [fault]);
}

#[test]
fn details_that_are_not_ours_are_empty() {
    let foreign = Status::with_details(Code::Aborted, "x", vec![0xff; 9].into());
    assert_eq!(error_details(&foreign), v1::ErrorDetails::default());
}
