//! The prefix chain of a prompt.

mod dispatch_support;

use dispatch_support::chain;
use proptest::prelude::*;
use ryerouter_core::identity::{AdapterName, ModelName, TenantName, WeightsVersion};
use ryerouter_core::prompt::{
    BLOCK_TOKENS, BYTES_PER_TOKEN, PrefixChain, PrefixChainBuilder, PrefixSalt,
};
use yare::parameterized;

const VERSION: WeightsVersion = WeightsVersion(1);

fn salted(tenant: &str, model: &str, version: u64, adapter: Option<&str>) -> PrefixChain {
    let adapter = adapter.map(AdapterName::new);
    let salt = PrefixSalt {
        tenant: &TenantName::new(tenant),
        model: &ModelName::new(model),
        weights_version: WeightsVersion(version),
        adapter: adapter.as_ref(),
    };
    let mut builder = PrefixChainBuilder::new(&salt);
    builder.push_message("system", "house style");
    builder.push_message("user", "what is it worth?");
    builder.finish()
}

#[parameterized(
    other_tenant = { "b", "m", 1, None },
    other_model = { "a", "n", 1, None },
    older_weights = { "a", "m", 0, None },
    with_adapter = { "a", "m", 1, Some("lora") },
    with_empty_adapter = { "a", "m", 1, Some("") },
    shifted_texts = { "am", "", 1, None },
)]
fn no_block_is_shared_across_salts(tenant: &str, model: &str, version: u64, adapter: Option<&str>) {
    let ours = salted("a", "m", 1, None);
    let theirs = salted(tenant, model, version, adapter);
    for block in &ours.blocks {
        assert!(theirs.blocks.iter().all(|other| other.hash != block.hash));
    }
}

#[test]
fn a_shared_beginning_shares_whole_blocks_only() {
    let shared = "x".repeat(3 * BLOCK_TOKENS * BYTES_PER_TOKEN);
    let first = chain("a", VERSION, &[&format!("{shared}left")]);
    let second = chain("a", VERSION, &[&format!("{shared}right")]);
    assert_eq!(first.blocks[..3], second.blocks[..3]);
    assert_ne!(first.blocks[3].hash, second.blocks[3].hash);
}

#[test]
fn a_message_boundary_is_part_of_the_prefix() {
    let one = chain("a", VERSION, &["ab"]);
    let two = chain("a", VERSION, &["a", "b"]);
    assert_ne!(
        one.blocks.last().unwrap().hash,
        two.blocks.last().unwrap().hash
    );
}

#[test]
fn level_ends_are_the_last_blocks_of_messages() {
    let long = "y".repeat(2 * BLOCK_TOKENS * BYTES_PER_TOKEN);
    let chain = chain("a", VERSION, &[&long, "", "z"]);
    let ends: Vec<_> = chain.level_ends().map(|block| block.level).collect();
    assert_eq!(ends, [0, 1, 2]);
    assert_eq!(chain.level_ends().next(), Some(&chain.blocks[1]));
}

proptest! {
    #[test]
    fn end_tokens_rise_and_equal_prompts_agree(
        messages in prop::collection::vec("[a-z]{0,3000}", 0..6),
    ) {
        let texts: Vec<&str> = messages.iter().map(String::as_str).collect();
        let ours = chain("a", VERSION, &texts);
        prop_assert_eq!(&ours, &chain("a", VERSION, &texts));
        prop_assert!(ours.blocks.windows(2).all(|pair| pair[0].end_tokens < pair[1].end_tokens));
        prop_assert_eq!(ours.level_ends().count(), texts.len());
    }
}
