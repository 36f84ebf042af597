//! What a node does again and again, with pools of a hundred to twenty thousand engines: the work of a choice, of a list that is
//! read again, and of the question whether engines have old weights.
//!
//! Figures before and after: docs/CAPACITY.md.

#![allow(missing_docs, reason = "the macro of the benchmark makes a function")]

#[path = "../tests/support/mod.rs"]
mod support;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use ryerouter_core::identity::PoolName;
use ryerouter_gateway::catalogue::CacheScope;
use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::placement::{PlacementRequest, Prompt, PromptPart};
use ryerouter_gateway::source::{Item, ItemKind, NamedWeights};
use support::fleet::node;
use support::gateway_bench::configure;
use support::records::{POOL, engine, model_table};
use support::test_dialect::MODEL;

const ENGINES: [usize; 4] = [100, 1_000, 10_000, 20_000];

fn list(count: usize) -> Vec<Item> {
    let address = |index: usize| SocketAddr::from(([10, 0, 0, 1], 1_000 + index as u16));
    (0..count)
        .map(|index| Item::Engine(engine(&format!("e{index:05}"), address(index), 1)))
        .collect()
}

/// A node among many that knows so many engines.
fn node_with(count: usize) -> Rc<Gateway> {
    let gateway = node(0);
    for index in 1..12 {
        gateway.receive_peer_message(node(index).peer_message(true));
    }
    configure(&gateway, model_table(Vec::new()));
    let now = gateway.clock().now();
    gateway.apply_list(ItemKind::Engines, list(count), 200, now);
    gateway
}

fn prompt() -> Prompt {
    let part = |id: &str, tokens| PromptPart {
        id: id.to_owned(),
        tokens,
    };
    Prompt {
        model: MODEL.to_owned(),
        parts: vec![part("house", 2_520), part("lot", 3_780), part("own", 2_890)],
        prompt_tokens: 9_190,
        output_tokens: 20,
        expected_tokens: None,
    }
}

fn choice(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("choice of an engine");
    for count in ENGINES {
        let gateway = node_with(count);
        let prompt = prompt();
        let request = PlacementRequest {
            id: "request-1",
            pool: &PoolName::new(POOL),
            prompt: Some(&prompt),
            cache_scope: &CacheScope::default(),
            target_latency: Duration::from_secs(1),
            body_bytes: 9_000,
            tried: &[],
        };
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| gateway.choose(&request).expect("engine"));
        });
    }
    group.finish();
}

fn relist(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("list read again");
    group.sample_size(10);
    for count in ENGINES {
        let gateway = node_with(count);
        let mut revision = 200;
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| {
                revision += 1;
                let now = gateway.clock().now();
                gateway.apply_list(ItemKind::Engines, list(count), revision, now);
            });
        });
    }
    group.finish();
}

fn old_weights(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("whether engines have old weights");
    for count in ENGINES {
        let gateway = node_with(count);
        let named = NamedWeights {
            model: MODEL.to_owned(),
            version: 1,
        };
        let now = gateway.clock().now();
        gateway.apply_list(ItemKind::Weights, vec![Item::Weights(named)], 200, now);
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| gateway.has_outdated_engines());
        });
    }
    group.finish();
}

criterion_group!(fleet, choice, relist, old_weights);
criterion_main!(fleet);
