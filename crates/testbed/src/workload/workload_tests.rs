//! Tests of the load.

use std::collections::BTreeMap;

use ryerouter_core::identity::{ModelName, WeightsVersion};
use ryerouter_core::prompt::{PrefixChainBuilder, PrefixSalt};
use yare::parameterized;

use super::{GeneratedRequest, GeneratedWork, ModelPrompt, Workload};
use crate::scenario::{BuiltIn, Scenario};

const WEIGHTS: WeightsVersion = WeightsVersion(1);

fn short(built_in: BuiltIn) -> Scenario {
    let mut scenario = Scenario::built_in(built_in).expect("it is sound");
    scenario.duration_seconds = 20.0;
    scenario
}

fn prompts(workload: &Workload) -> impl Iterator<Item = (&GeneratedRequest, &ModelPrompt)> {
    workload
        .requests
        .iter()
        .filter_map(|request| match &request.work {
            GeneratedWork::Model(prompt) => Some((request, prompt.as_ref())),
            GeneratedWork::Service => None,
        })
}

#[parameterized(blue_mahoe = { BuiltIn::BlueMahoe }, callaghan = { BuiltIn::Callaghan })]
fn same_seed_same_requests(built_in: BuiltIn) {
    let scenario = short(built_in);
    let first = Workload::generate(&scenario, WEIGHTS, 5);
    assert_eq!(first, Workload::generate(&scenario, WEIGHTS, 5));
    assert_ne!(first, Workload::generate(&scenario, WEIGHTS, 6));
}

#[parameterized(blue_mahoe = { BuiltIn::BlueMahoe }, callaghan = { BuiltIn::Callaghan })]
fn arrivals_follow_the_stated_rates(built_in: BuiltIn) {
    let scenario = short(built_in);
    let workload = Workload::generate(&scenario, WEIGHTS, 1);
    for (class, spec) in scenario.classes.iter().enumerate() {
        let count = workload
            .requests
            .iter()
            .filter(|request| request.class == class)
            .count();
        let expected = spec.requests_per_second * scenario.duration_seconds;
        let ratio = count as f64 / expected;
        assert!(
            (0.6..1.4).contains(&ratio),
            "{}: {count} of {expected}",
            spec.name
        );
    }
    assert!(
        workload
            .requests
            .is_sorted_by_key(|request| request.sent_at)
    );
}

#[test]
fn chain_is_the_chain_of_the_text() {
    let scenario = short(BuiltIn::Callaghan);
    let workload = Workload::generate(&scenario, WEIGHTS, 2);
    for (request, prompt) in prompts(&workload).take(50) {
        let mut chain = PrefixChainBuilder::new(&PrefixSalt {
            tenant: &request.tenant,
            model: &ModelName::new(&scenario.model_pool.model),
            weights_version: WEIGHTS,
            adapter: None,
        });
        for message in &prompt.messages {
            chain.push_message(message.role, &message.text);
        }
        assert_eq!(chain.finish(), prompt.prefix);
    }
}

#[test]
fn hot_item_draws_its_share() {
    let mut scenario = short(BuiltIn::BlueMahoe);
    scenario.duration_seconds = 10.0;
    let workload = Workload::generate(&scenario, WEIGHTS, 3);
    let shelf = 1;
    let mut by_item = BTreeMap::new();
    let mut total = 0;
    for (_, prompt) in prompts(&workload).filter(|(request, _)| request.class == shelf) {
        *by_item.entry(prompt.messages[2].text.clone()).or_insert(0) += 1;
        total += 1;
    }
    let hottest = by_item.values().max().copied().unwrap_or(0);
    assert!(hottest * 10 > total, "{hottest} of {total}");
}
