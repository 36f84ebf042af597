//! Tests of the engine model.

use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::dispatch::{NotRunReason, Priority};
use ryerouter_core::identity::{AttemptId, Incarnation, WeightsVersion};
use ryerouter_core::prompt::{BlockHash, PrefixBlock, PrefixChain};

use super::{EngineEvent, EngineModel, EngineOutput, EngineProfile, EngineRequest, ImportedPrefix};

const BLOCK: u32 = 100;

fn profile() -> EngineProfile {
    EngineProfile {
        prefill_tokens_per_second: 10_000,
        prefill_chunk_tokens: 500,
        step_base_micros: 10_000,
        step_per_sequence_micros: 1_000,
        max_running: 4,
        max_waiting: 3,
        kv_capacity_tokens: 2_000,
        ..EngineProfile::default()
    }
}

fn engine() -> EngineModel {
    EngineModel::new(profile(), Incarnation(1), WeightsVersion(7))
}

/// A request whose prompt is the given blocks of 100 tokens.
fn request(attempt: u128, hashes: &[u64]) -> EngineRequest {
    let blocks = hashes.iter().zip(1..).map(|(hash, number)| PrefixBlock {
        hash: BlockHash(*hash),
        end_tokens: number * BLOCK,
        level: 0,
    });
    EngineRequest {
        attempt: AttemptId(attempt),
        prefix: PrefixChain {
            weights_version: Some(WeightsVersion(7)),
            blocks: blocks.collect(),
        },
        prompt_tokens: hashes.len() as u32 * BLOCK,
        output_tokens: 3,
        first_chunk: 0,
        priority: Priority::Interactive,
        incarnation: Some(Incarnation(1)),
        weights_version: Some(WeightsVersion(7)),
        kv_import: None,
        kv_export: None,
    }
}

fn submit(engine: &mut EngineModel, request: EngineRequest, now: Timestamp) -> Vec<EngineOutput> {
    let mut outputs = Vec::new();
    engine.handle(EngineEvent::Submit(Box::new(request)), now, &mut outputs);
    outputs
}

/// Wakes the engine whenever it asks for it until it is idle.
fn run_until_idle(engine: &mut EngineModel) -> Vec<(Timestamp, EngineOutput)> {
    let mut history = Vec::new();
    while let Some(due) = engine.next_wake() {
        let mut outputs = Vec::new();
        engine.handle(EngineEvent::Wake, due, &mut outputs);
        history.extend(outputs.into_iter().map(|output| (due, output)));
    }
    history
}

fn first_chunk_at(history: &[(Timestamp, EngineOutput)], attempt: u128) -> Timestamp {
    let is_first = |output: &EngineOutput| matches!(output, EngineOutput::Chunk { attempt: id, index: 0 } if id.0 == attempt);
    let found = history.iter().find(|(_, output)| is_first(output));
    found.expect("the attempt has a first chunk").0
}

fn cached_tokens(history: &[(Timestamp, EngineOutput)], attempt: u128) -> u32 {
    let finished = history.iter().find_map(|(_, output)| match output {
        EngineOutput::Finished {
            attempt: id,
            cached_tokens,
            ..
        } if id.0 == attempt => Some(*cached_tokens),
        _ => None,
    });
    finished.expect("the attempt finished")
}

fn refusal(outputs: &[EngineOutput]) -> Option<NotRunReason> {
    outputs.iter().find_map(|output| match output {
        EngineOutput::Refused { reason, .. } => Some(*reason),
        _ => None,
    })
}

#[test]
fn first_token_time_follows_the_stated_model() {
    let mut engine = engine();
    submit(
        &mut engine,
        request(1, &[1, 2, 3, 4, 5, 6, 7, 8]),
        Timestamp::ZERO,
    );
    let history = run_until_idle(&mut engine);
    // Two steps: 500 and 300 tokens at 10 tokens a millisecond, 10 ms base each.
    assert_eq!(first_chunk_at(&history, 1), Timestamp::from_millis(60 + 40));
    // Two more tokens, each a step of 10 ms and 1 ms for the one sequence.
    let last = history.last().expect("there is history").0;
    assert_eq!(last, Timestamp::from_millis(100 + 2 * 11));
}

#[test]
fn shared_prefix_is_computed_and_held_once() {
    let mut engine = engine();
    submit(&mut engine, request(1, &[1, 2, 3, 4, 50]), Timestamp::ZERO);
    submit(&mut engine, request(2, &[1, 2, 3, 4, 60]), Timestamp::ZERO);
    let history = run_until_idle(&mut engine);
    assert_eq!(cached_tokens(&history, 1), 0);
    assert_eq!(cached_tokens(&history, 2), 400);
    assert_eq!(engine.used_tokens(), 600);
}

#[test]
fn prompt_cached_whole_computes_its_last_token() {
    let mut engine = engine();
    submit(&mut engine, request(1, &[1, 2]), Timestamp::ZERO);
    run_until_idle(&mut engine);
    submit(
        &mut engine,
        request(2, &[1, 2]),
        Timestamp::from_millis(500),
    );
    let history = run_until_idle(&mut engine);
    assert_eq!(cached_tokens(&history, 2), 199);
}

#[test]
fn memory_pressure_evicts_least_recently_used_leaf_first() {
    let mut engine = engine();
    for (attempt, base) in [(1, 10), (2, 20), (3, 30), (4, 40)] {
        let hashes: Vec<u64> = (base..base + 6).collect();
        submit(
            &mut engine,
            request(attempt, &hashes),
            Timestamp::from_millis(attempt as u64 * 500),
        );
        run_until_idle(&mut engine);
        assert!(engine.used_tokens() <= profile().kv_capacity_tokens);
    }
    assert!(!engine.cache().contains(BlockHash(15)));
    assert!(engine.cache().contains(BlockHash(25)));
    assert!(engine.cache().contains(BlockHash(45)));
}

#[test]
fn interactive_work_overtakes_batch_work() {
    let mut engine = engine();
    let long: Vec<u64> = (100..115).collect();
    let mut batch = request(1, &long);
    batch.priority = Priority::Batch;
    submit(&mut engine, batch, Timestamp::ZERO);
    submit(&mut engine, request(2, &[1]), Timestamp::from_millis(1));
    let history = run_until_idle(&mut engine);
    assert!(first_chunk_at(&history, 2) < first_chunk_at(&history, 1));
}

#[test]
fn batch_work_is_not_starved() {
    let mut engine = engine();
    let mut batch = request(1_000, &[1_000_000]);
    batch.priority = Priority::Batch;
    submit(&mut engine, batch, Timestamp::ZERO);
    let mut history = Vec::new();
    // Interactive work that alone exceeds the engine's speed for ten seconds.
    for number in 1..200_u64 {
        let now = Timestamp::from_millis(number * 50);
        let mut outputs = Vec::new();
        engine.handle(EngineEvent::Wake, now, &mut outputs);
        history.extend(outputs.drain(..).map(|output| (now, output)));
        let hashes: Vec<u64> = (number * 10..number * 10 + 8).collect();
        submit(&mut engine, request(u128::from(number), &hashes), now);
    }
    let promoted = Timestamp::ZERO.after(profile().batch_promotion());
    let served = first_chunk_at(&history, 1_000);
    assert!(
        served < promoted.after(Duration::from_secs(2)),
        "served at {served:?}"
    );
}

#[test]
fn cancel_frees_memory_and_says_so_once() {
    let mut engine = engine();
    submit(&mut engine, request(1, &[1, 2, 3]), Timestamp::ZERO);
    let mut outputs = Vec::new();
    let attempt = AttemptId(1);
    let now = Timestamp::from_millis(1);
    engine.handle(EngineEvent::Cancel { attempt }, now, &mut outputs);
    engine.handle(EngineEvent::Cancel { attempt }, now, &mut outputs);
    assert_eq!(outputs, vec![EngineOutput::Cancelled { attempt }]);
    run_until_idle(&mut engine);
    assert_eq!(engine.used_tokens(), 0);
}

#[test]
fn restart_loses_work_and_cache_and_refuses_the_old_incarnation() {
    let mut engine = engine();
    submit(&mut engine, request(1, &[1, 2]), Timestamp::ZERO);
    run_until_idle(&mut engine);
    let now = Timestamp::from_millis(900);
    submit(&mut engine, request(2, &[1, 3]), now);
    let mut outputs = Vec::new();
    let incarnation = Incarnation(2);
    engine.handle(EngineEvent::Restart { incarnation }, now, &mut outputs);
    assert_eq!(
        outputs,
        vec![EngineOutput::Lost {
            attempt: AttemptId(2)
        }]
    );
    assert!(engine.cache().is_empty());
    let outputs = submit(&mut engine, request(3, &[1, 2]), now);
    assert_eq!(refusal(&outputs), Some(NotRunReason::IncarnationMismatch));
}

#[test]
fn new_weights_flush_the_cache_and_cut_nothing() {
    let mut engine = engine();
    submit(&mut engine, request(1, &[1, 2]), Timestamp::ZERO);
    let mut outputs = Vec::new();
    let load = EngineEvent::LoadWeights {
        weights_version: WeightsVersion(8),
        ready_at: Timestamp::from_millis(5),
    };
    engine.handle(load, Timestamp::from_millis(1), &mut outputs);
    let refused = submit(&mut engine, request(2, &[1, 2]), Timestamp::from_millis(2));
    assert_eq!(refusal(&refused), Some(NotRunReason::Draining));
    let history = run_until_idle(&mut engine);
    assert_eq!(cached_tokens(&history, 1), 0);
    assert_eq!(engine.status().weights_version, WeightsVersion(8));
    assert!(engine.cache().is_empty());
    let refused = submit(
        &mut engine,
        request(3, &[1, 2]),
        Timestamp::from_millis(900),
    );
    assert_eq!(refusal(&refused), Some(NotRunReason::WeightsMismatch));
}

#[test]
fn import_replaces_prefill() {
    let mut engine = engine();
    let mut imported = request(1, &[1, 2, 3, 4, 5]);
    imported.kv_import = Some(ImportedPrefix {
        prefix: BlockHash(4),
        tokens: 400,
    });
    submit(&mut engine, imported, Timestamp::ZERO);
    let history = run_until_idle(&mut engine);
    assert_eq!(cached_tokens(&history, 1), 400);
    // Transfer of 400 tokens (3 ms + 4 ms), then one step with 100 tokens.
    assert_eq!(first_chunk_at(&history, 1), Timestamp::from_millis(7 + 20));
}

#[test]
fn full_queue_refuses_and_says_not_run() {
    let mut engine = engine();
    for attempt in 0..5 {
        let hashes: Vec<u64> = (0..10).map(|n| attempt as u64 * 100 + n).collect();
        submit(&mut engine, request(attempt, &hashes), Timestamp::ZERO);
    }
    let outputs = submit(&mut engine, request(9, &[1]), Timestamp::ZERO);
    assert_eq!(refusal(&outputs), Some(NotRunReason::Overloaded));
}

#[test]
fn continued_answer_starts_at_the_wanted_chunk() {
    let mut engine = engine();
    let mut continued = request(1, &[1]);
    continued.first_chunk = 2;
    submit(&mut engine, continued, Timestamp::ZERO);
    let history = run_until_idle(&mut engine);
    let chunks: Vec<u32> = history
        .iter()
        .filter_map(|(_, output)| match output {
            EngineOutput::Chunk { index, .. } => Some(*index),
            _ => None,
        })
        .collect();
    assert_eq!(chunks, vec![2]);
}
