//! Hashing and placing prompts before 5,500 engines of one pool.

use std::sync::Arc;

use divan::{Bencher, black_box};
use ryerouter_core::Timestamp;
use ryerouter_core::catalog::{BackEnd, BackEndState, Catalog, Pool, PoolKind};
use ryerouter_core::dispatch::{
    AttemptOutcome, DispatchAction, DispatchEvent, Dispatcher, Priority, Repeatability,
    RequestProfile, RoutingSnapshot,
};
use ryerouter_core::identity::{RequestId, ResourceVersion, WeightsVersion};
use ryerouter_core::prompt::{PrefixChain, PrefixChainBuilder, PrefixSalt};

const ENGINES: usize = 5_500;
const WEIGHTS: WeightsVersion = WeightsVersion(1);
/// 128k tokens of text.
const LONG_PROMPT_BYTES: usize = 512 * 1024;

fn main() {
    divan::main();
}

/// Nested like real prompts: house style, tenant, item, question.
fn chain(bytes: usize, question: u64) -> PrefixChain {
    let text = "the provenance letter says ".repeat(bytes / 27 + 1);
    let (shared, rest) = text.split_at(bytes / 8);
    let salt = PrefixSalt {
        tenant: &"tenant".into(),
        model: &"model".into(),
        weights_version: WEIGHTS,
        adapter: None,
    };
    let mut builder = PrefixChainBuilder::new(&salt);
    builder.push_message("system", shared);
    builder.push_message("user", rest);
    builder.push_message("user", &format!("question {question}"));
    builder.finish()
}

fn snapshot(engines: usize) -> Arc<RoutingSnapshot> {
    let mut catalog = Catalog::default();
    let pool = Pool {
        name: "pool".into(),
        kind: PoolKind::Model {
            model: "model".into(),
            weights_version: WEIGHTS,
            adapters: Vec::new(),
            weight_loads_at_once: 3,
        },
        kv_store: None,
        version: ResourceVersion::default(),
    };
    catalog.pools.insert(pool.name.clone(), pool);
    for index in 0..engines {
        let back_end = BackEnd {
            name: format!("engine-{index:05}").as_str().into(),
            pool: "pool".into(),
            address: format!("127.0.0.1:{}", 10_000 + index).parse().unwrap(),
            data_centre: "here".into(),
            zone: "zone".into(),
            state: BackEndState::Active,
            version: ResourceVersion::default(),
        };
        catalog.back_ends.insert(back_end.name.clone(), back_end);
    }
    Arc::new(RoutingSnapshot {
        catalog: Arc::new(catalog),
        ..RoutingSnapshot::default()
    })
}

fn dispatcher(engines: usize) -> Dispatcher {
    let mut dispatcher = Dispatcher::new("here".into(), "zone".into(), 1);
    let event = DispatchEvent::SnapshotPublished(snapshot(engines));
    dispatcher.handle(event, Timestamp::ZERO, &mut Vec::new());
    dispatcher
}

fn profile(prefix: PrefixChain, now: Timestamp) -> RequestProfile {
    RequestProfile {
        request: RequestId::new("request"),
        tenant: "tenant".into(),
        pool: "pool".into(),
        prompt_tokens: prefix.tokens(),
        prefix,
        expected_output_tokens: 100,
        priority: Priority::Interactive,
        deadline: None,
        repeatability: Repeatability::Repeatable,
        arrived_at: now,
    }
}

/// Places a request and completes it.
fn serve(dispatcher: &mut Dispatcher, profile: RequestProfile, now: Timestamp) {
    let mut actions = Vec::new();
    let submitted = DispatchEvent::Submitted(Box::new(profile));
    dispatcher.handle(submitted, now, &mut actions);
    let Some(DispatchAction::Start { assignment, .. }) = actions.pop() else {
        panic!("the request must start");
    };
    let ended = DispatchEvent::AttemptEnded {
        attempt: assignment.attempt,
        outcome: AttemptOutcome::Completed,
        observation: None,
    };
    dispatcher.handle(ended, now, &mut actions);
}

#[divan::bench(args = [2 * 1024, 32 * 1024, LONG_PROMPT_BYTES])]
fn hash_prompt(bencher: Bencher, bytes: usize) {
    let text = "x".repeat(bytes);
    bencher.bench(|| {
        let salt = PrefixSalt {
            tenant: &"tenant".into(),
            model: &"model".into(),
            weights_version: WEIGHTS,
            adapter: None,
        };
        let mut builder = PrefixChainBuilder::new(&salt);
        builder.push_message("user", black_box(&text));
        builder.finish()
    });
}

#[divan::bench(args = [18, 680, ENGINES])]
fn place_and_complete(bencher: Bencher, engines: usize) {
    let mut dispatcher = dispatcher(engines);
    let prefix = chain(32 * 1024, 0);
    let mut now = Timestamp::from_millis(100_000);
    bencher.bench_local(|| {
        now = now.after(std::time::Duration::from_millis(5));
        serve(&mut dispatcher, profile(prefix.clone(), now), now);
    });
}

#[divan::bench]
fn hash_and_place_128k_tokens_before_5500_engines(bencher: Bencher) {
    let mut dispatcher = dispatcher(ENGINES);
    let mut now = Timestamp::from_millis(100_000);
    let text = "x".repeat(LONG_PROMPT_BYTES);
    bencher.bench_local(|| {
        now = now.after(std::time::Duration::from_millis(5));
        let salt = PrefixSalt {
            tenant: &"tenant".into(),
            model: &"model".into(),
            weights_version: WEIGHTS,
            adapter: None,
        };
        let mut builder = PrefixChainBuilder::new(&salt);
        builder.push_message("user", black_box(&text));
        builder.push_message("user", "question");
        serve(&mut dispatcher, profile(builder.finish(), now), now);
    });
}

#[divan::bench]
fn publish_snapshot_of_5500_engines(bencher: Bencher) {
    let snapshot = snapshot(ENGINES);
    let mut dispatcher = dispatcher(ENGINES);
    bencher.bench_local(|| {
        let event = DispatchEvent::SnapshotPublished(snapshot.clone());
        dispatcher.handle(event, Timestamp::ZERO, &mut Vec::new());
    });
}
