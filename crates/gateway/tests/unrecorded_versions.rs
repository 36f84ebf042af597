//! Streams are kept from versions that the store does not hold yet, also where releases are ordered.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use ryerouter_core::continuation::SETTLING_TIME;
use ryerouter_core::identity::BackEndName;
use ryerouter_core::release::Stage;
use ryerouter_gateway::catalogue::{CacheScope, RequestKind};
use ryerouter_gateway::continuation::{SoftwareConstraint, VersionRecord};
use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::placement::PlacementRequest;
use ryerouter_gateway::source::StoredVersions;
use support::gateway_bench::{configure, gateway, list_engines, run_paused};
use support::records::{route, table};
use support::releases::{PRESENT, TARGET, engine_of, grant, lone_node, pool, version_of};
use tokio::time::advance;
use yare::parameterized;

const REQUESTS: usize = 100;
const SHARE: f64 = 0.5;

fn record(node: &Gateway, versions: &[&str]) {
    let versions = versions.iter().map(|version| (*version).to_owned());
    let record = VersionRecord {
        pool: pool(),
        versions: versions.collect(),
        era: 0,
        is_incomplete: false,
        witnesses: BTreeSet::new(),
    };
    let stored = StoredVersions {
        record,
        revision: 1,
    };
    let mut state = node.state_mut();
    state.continuations.versions.note_recorded(stored);
}

/// The versions at which new streams begin, after attempts on the engines `tried`.
fn versions_of_streams(node: &Gateway, tried: &[&str]) -> BTreeSet<String> {
    let tried: Vec<_> = tried.iter().map(|name| BackEndName::new(*name)).collect();
    let placed = (0..REQUESTS).filter_map(|number| {
        let request = PlacementRequest {
            id: &format!("r{number}"),
            pool: &pool(),
            prompt: None,
            cache_scope: &CacheScope::default(),
            target_latency: Duration::from_millis(500),
            body_bytes: 10,
            tried: &tried,
        };
        node.choose_version(&request, &SoftwareConstraint::Settled)
    });
    placed
        .map(|placement| version_of(node, &placement.engine))
        .collect()
}

#[parameterized(
    without_an_order = { None },
    shifting = { Some(Stage::Shifting) },
    settling = { Some(Stage::Settling) },
)]
fn streams_begin_at_an_unrecorded_version_where_releases_are_ordered(stage: Option<Stage>) {
    run_paused(async {
        let node = lone_node().await;
        if let Some(stage) = stage {
            node.publish_grant(grant(stage, SHARE, 1));
        }
        record(&node, &[PRESENT]);
        assert_eq!(versions_of_streams(&node, &[]), [PRESENT.to_owned()].into());
        record(&node, &[PRESENT, TARGET]);
        assert!(versions_of_streams(&node, &[]).contains(TARGET));
        record(&node, &[PRESENT]);
        list_engines(&node, vec![engine_of("new-1", TARGET)]);
        assert_eq!(versions_of_streams(&node, &[]), [TARGET.to_owned()].into());
    });
}

/// A node that has not heard of the new version yet would go on with its streams at the other one.
#[test]
fn streams_begin_at_a_version_that_other_nodes_may_not_know() {
    run_paused(async {
        let node = gateway("node-1");
        configure(&node, table(1, vec![route(RequestKind::Streaming)]));
        let present = engine_of("old-1", PRESENT);
        list_engines(&node, vec![present.clone()]);
        advance(SETTLING_TIME).await;
        record(&node, &[PRESENT, TARGET]);
        list_engines(&node, vec![present, engine_of("new-1", TARGET)]);
        assert!(versions_of_streams(&node, &["old-1"]).is_empty());
        advance(SETTLING_TIME).await;
        let later = versions_of_streams(&node, &["old-1"]);
        assert_eq!(later, [TARGET.to_owned()].into());
    });
}
