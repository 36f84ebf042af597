//! Streams are kept from versions that the store does not hold yet, also where releases are ordered.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use ryerouter_core::identity::BackEndName;
use ryerouter_core::release::Stage;
use ryerouter_gateway::continuation::{SoftwareConstraint, VersionRecord};
use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::placement::PlacementRequest;
use ryerouter_gateway::source::StoredVersions;
use support::gateway_bench::{list_engines, run_paused};
use support::releases::{PRESENT, TARGET, engine_of, grant, lone_node, pool, version_of};
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
            isolated_tenant: None,
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
