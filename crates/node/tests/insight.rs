//! What operators learn of traffic.

mod support;

use std::sync::Arc;

use ryerouter_core::catalog::{MigrationStage, RollbackRule, StageProgress, StageState};
use ryerouter_core::identity::{RequestId, ResourceVersion};
use support::{Cluster, Script, ScriptedBackEnd, SeenRequest, chunk_event, stream_events};
use yare::parameterized;

const ID: &[(&str, &str)] = &[("x-request-id", "asked")];

#[tokio::test]
async fn an_ended_request_is_explained_with_its_attempts() {
    let engine = ScriptedBackEnd::start(4, |r: &SeenRequest| {
        if r.number == 0 {
            return Script::broken_stream(r, &[chunk_event(0, "a")]);
        }
        Script::stream(r, &stream_events(&["a", "b"], 1))
    });
    let cluster = Cluster::start(&[&engine.await], &[]);
    let mut caller = cluster.caller().await;
    assert!(caller.chat(ID, &Cluster::stream_body()).await.is_done());

    let insight = cluster.node.insight();
    // The request is noted as ended just after its caller has the whole answer.
    let explained = loop {
        if let Some(explained) = insight.explain(&RequestId::new("asked")) {
            break explained;
        }
        tokio::task::yield_now().await;
    };
    assert_eq!(explained.outcome, "completed");
    assert_eq!(
        (explained.tenant.as_str(), explained.pool.as_str()),
        ("tenant", "models")
    );
    assert!(explained.repeatable);
    assert!(explained.first_token_us.is_some());
    let states: Vec<&str> = explained
        .attempts
        .iter()
        .map(|a| a.run_state.as_str())
        .collect();
    assert_eq!(states, ["ran", "ran"]);
    assert!(
        explained.attempts[0].failure.contains("connection"),
        "{explained:?}"
    );
    assert_eq!(explained.attempts[1].cached_tokens, Some(3));
    assert!(insight.explain(&RequestId::new("never")).is_none());

    let overview = insight.overview();
    assert_eq!(overview.config_version, 1);
    let pool = overview
        .pools
        .iter()
        .find(|pool| pool.pool == "models")
        .unwrap();
    assert!(pool.requests_per_second > 0.0);
    assert_eq!((pool.running, pool.waiting), (0, 0));
    assert!((pool.prefix_hit_rate - 3.0 / 7.0).abs() < 1e-9, "{pool:?}");
    let back_end = &overview.back_ends[0];
    assert_eq!(
        (back_end.state.as_str(), back_end.incarnation),
        ("active", 4)
    );
    assert_eq!(back_end.in_flight, 0);
}

#[parameterized(
    running = { StageState::Running, 100 },
    paused = { StageState::Paused, 100 },
    rolled_back = { StageState::RolledBack, 0 },
)]
#[test_macro(tokio::test)]
async fn the_share_of_a_stage_in_force_is_told_beside_the_final_one(
    state: StageState,
    in_force: u32,
) {
    let cluster = Cluster::start(&[], &[]);
    let mut snapshot = (**cluster.snapshots.borrow()).clone();
    let catalog = Arc::make_mut(&mut snapshot.catalog);
    let stage = stage_in_steps(state);
    let progress = StageProgress {
        stage: stage.name.clone(),
        share_permille: 100,
        finished: false,
        note: String::new(),
        version: stage.version,
    };
    catalog.stage_progress.insert(stage.name.clone(), progress);
    catalog.stages.insert(stage.name.clone(), stage);
    cluster.snapshots.send(Arc::new(snapshot)).unwrap();

    let insight = cluster.node.insight();
    let stage = loop {
        if let Some(stage) = insight.overview().stages.pop() {
            break stage;
        }
        tokio::task::yield_now().await;
    };
    let shares = (stage.share_permille, stage.target_share_permille);
    assert_eq!(shares, (in_force, 800));
}

fn stage_in_steps(state: StageState) -> MigrationStage {
    MigrationStage {
        name: "move".into(),
        pool: "models".into(),
        tenant: None,
        source: "kingston".into(),
        target: "portmore".into(),
        target_share_permille: 800,
        step_permille: 100,
        hold_seconds: 60,
        rollback_rule: RollbackRule::default(),
        state,
        version: ResourceVersion(1),
    }
}

#[tokio::test]
async fn requests_under_way_and_refusals_are_counted() {
    let engine = ScriptedBackEnd::start(4, |r: &SeenRequest| {
        if r.body.contains("refuse") {
            return Script::not_run(r, 503, "overloaded");
        }
        Script::Hang
    });
    let mut engine = engine.await;
    let cluster = Cluster::start(&[&engine], &[]);
    let mut refused = cluster.caller().await;
    let body = Cluster::stream_body().replace("hello", "refuse");
    let answer = refused.chat(&[], &body).await;
    assert_eq!(answer.header("x-ryerouter-run-state"), "not-run");
    while engine.seen_request().is_some() {}
    let mut caller = cluster.caller().await;
    let waiting = tokio::spawn(async move { caller.chat(&[], &Cluster::stream_body()).await });

    // Refused for a while after an overload, or under way at the engine.
    let insight = cluster.node.insight();
    let overview = loop {
        let overview = insight.overview();
        let pool = overview
            .pools
            .iter()
            .find(|pool| pool.pool == "models")
            .unwrap();
        if pool.running + pool.waiting > 0 {
            break overview;
        }
        assert!(!waiting.is_finished(), "{:?}", waiting.await);
        tokio::task::yield_now().await;
    };
    assert_eq!(
        overview
            .refusals
            .iter()
            .map(|refusal| refusal.count)
            .sum::<u64>(),
        1
    );
    waiting.abort();
}
