//! The engine stand-in keeps the engine protocol.

mod support;

use std::time::Duration;

use ryerouter_core::identity::WeightsVersion;
use ryerouter_testbed::engine_model::EngineProfile;
use ryerouter_testbed::standins::kept_cache::KvStore;
use ryerouter_testbed::standins::model_engine::{
    AnswerText, Engine, EngineFaults, EngineSettings, StreamFault,
};
use ryerouter_testbed::standins::weights::{WeightLoadProfile, WeightStore};
use support::{Answer, send};
use yare::parameterized;

const CHAT: &str = "/v1/chat/completions";
const TOKENS: u32 = 6;

fn settings() -> EngineSettings {
    EngineSettings {
        profile: EngineProfile {
            step_base_micros: 1_000,
            ..EngineProfile::default()
        },
        event_delay: Duration::ZERO,
        load_lag: Duration::ZERO,
        ..EngineSettings::default()
    }
}

fn body(stream: bool, extra: &str) -> String {
    format!(
        r#"{{"model":"model","messages":[{{"role":"user","content":"hello"}}],"max_tokens":{TOKENS},"stream":{stream}{extra}}}"#
    )
}

fn said(weights_version: u64) -> AnswerText {
    AnswerText::new("model", weights_version, "user\nhello\n")
}

async fn complete(engine: &Engine, headers: &[(&str, &str)], body: &str) -> Option<Answer> {
    send(engine.address(), "POST", CHAT, headers, body).await
}

/// Chunk indices and text of a stream, and whether it ended well.
fn read_stream(body: &str) -> (Vec<u32>, String, bool) {
    let ids = body.lines().filter_map(|line| line.strip_prefix("id: "));
    let ids = ids.map(|id| id.parse().unwrap()).collect();
    let chunks = body.lines().filter_map(|line| line.strip_prefix("data: {"));
    let mut text = String::new();
    for chunk in chunks {
        let chunk: serde_json::Value = serde_json::from_str(&format!("{{{chunk}")).unwrap();
        let delta = &chunk["choices"][0]["delta"]["content"];
        text.push_str(delta.as_str().unwrap_or_default());
    }
    (ids, text, body.ends_with("data: [DONE]\n\n"))
}

#[tokio::test]
async fn a_stream_is_whole_numbered_and_what_the_engine_must_say() {
    let engine = Engine::start(settings()).await.unwrap();
    let headers = [("x-attempt-id", "a1"), ("x-prefix-chain", "10:2")];
    let answer = complete(&engine, &headers, &body(true, "")).await.unwrap();
    assert_eq!(answer.status.as_u16(), 200);
    assert_eq!(
        answer.headers["x-attempt-id"],
        "000000000000000000000000000000a1"
    );
    assert_eq!(answer.headers["x-engine-incarnation"], "1");
    let (ids, text, done) = read_stream(&answer.body);
    assert_eq!(ids, (0..=TOKENS).collect::<Vec<_>>());
    assert_eq!(text, said(1).text(TOKENS));
    assert!(done);
    assert!(
        answer
            .body
            .contains(r#""prompt_tokens_details":{"cached_tokens":0}"#)
    );
}

#[tokio::test]
async fn an_answer_that_is_not_streamed_says_the_same() {
    let engine = Engine::start(settings()).await.unwrap();
    let headers = [("x-attempt-id", "a1")];
    let answer = complete(&engine, &headers, &body(false, "")).await.unwrap();
    let answer: serde_json::Value = serde_json::from_str(&answer.body).unwrap();
    let text = &answer["choices"][0]["message"]["content"];
    assert_eq!(text, &said(1).text(TOKENS));
}

#[parameterized(
    other_incarnation = { ("x-engine-incarnation", "2"), 412, "incarnation_mismatch" },
    other_weights = { ("x-weights-version", "9"), 412, "weights_mismatch" },
    bad_chain = { ("x-prefix-chain", "zz"), 400, "rejected" },
    lying_continuation = { ("x-continue-from", "2"), 400, "rejected" },
)]
fn a_refusal_says_not_run_and_why(header: (&str, &str), status: u16, reason: &str) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let engine = Engine::start(settings()).await.unwrap();
        let headers = [("x-attempt-id", "a1"), header];
        let answer = complete(&engine, &headers, &body(true, "")).await.unwrap();
        assert_eq!(answer.status.as_u16(), status);
        assert_eq!(answer.headers["x-run-state"], "not-run");
        assert_eq!(answer.headers["x-not-run-reason"], reason);
        assert_eq!(engine.settings().executions.count("user\nhello\n"), 0);
    });
}

#[tokio::test]
async fn a_cut_stream_resumes_at_the_index_asked_for() {
    let engine = Engine::start(settings()).await.unwrap();
    engine.set_faults(EngineFaults {
        stream: Some(StreamFault::Cut),
        stream_permille: 1_000,
        ..EngineFaults::default()
    });
    let headers = [("x-attempt-id", "a1")];
    assert!(complete(&engine, &headers, &body(true, "")).await.is_none());
    engine.set_faults(EngineFaults::default());
    let resume = [("x-attempt-id", "a2")];
    let path = "/v1/attempts/a1/stream?from=4";
    let answer = send(engine.address(), "GET", path, &resume, "")
        .await
        .unwrap();
    assert_eq!(
        answer.headers["x-attempt-id"],
        "000000000000000000000000000000a2"
    );
    let (ids, _, done) = read_stream(&answer.body);
    assert_eq!((ids, done), (vec![4, 5, 6], true));
}

#[tokio::test]
async fn another_engine_continues_from_the_text_delivered() {
    let engine = Engine::start(settings()).await.unwrap();
    let delivered = format!(r#","continue_tokens":"{}""#, said(1).text(3));
    let headers = [("x-attempt-id", "a1"), ("x-continue-from", "3")];
    let answer = complete(&engine, &headers, &body(true, &delivered))
        .await
        .unwrap();
    let (ids, text, done) = read_stream(&answer.body);
    assert_eq!((ids, done), (vec![3, 4, 5, 6], true));
    assert_eq!(said(1).text(3) + &text, said(1).text(TOKENS));
}

#[tokio::test]
async fn a_cancelled_attempt_is_unknown_and_so_is_one_of_a_dead_engine() {
    let mut engine = Engine::start(settings()).await.unwrap();
    let headers = [("x-attempt-id", "a1")];
    let attempt = "/v1/attempts/a1";
    complete(&engine, &headers, &body(true, "")).await.unwrap();
    let first = send(engine.address(), "DELETE", attempt, &headers, "")
        .await
        .unwrap();
    let second = send(engine.address(), "DELETE", attempt, &headers, "")
        .await
        .unwrap();
    assert_eq!((first.status.as_u16(), second.status.as_u16()), (200, 404));
    complete(&engine, &headers, &body(true, "")).await.unwrap();
    engine.crash().await;
    assert!(complete(&engine, &headers, &body(true, "")).await.is_none());
    engine.restart().await.unwrap();
    let path = "/v1/attempts/a1/stream?from=0";
    let gone = send(engine.address(), "GET", path, &headers, "")
        .await
        .unwrap();
    assert_eq!(gone.headers["x-run-state"], "not-run");
    assert_eq!(gone.headers["x-engine-incarnation"], "2");
}

#[tokio::test]
async fn an_order_with_an_older_fencing_number_is_refused() {
    let engine = Engine::start(settings()).await.unwrap();
    let order = |number: u64, role: &str| {
        format!(r#"{{"fencing_number":{number},"order":{{"kind":"set_role","role":"{role}"}}}}"#)
    };
    let address = engine.address();
    let taken = send(address, "POST", "/v1/orders", &[], &order(5, "draining"))
        .await
        .unwrap();
    assert_eq!(taken.status.as_u16(), 200);
    assert_eq!(taken.headers["x-engine-state"], "draining");
    let stale = send(address, "POST", "/v1/orders", &[], &order(4, "serving"))
        .await
        .unwrap();
    assert_eq!(stale.status.as_u16(), 409);
    assert_eq!(stale.body, r#"{"fencing_number":5}"#);
    let refused = complete(&engine, &[("x-attempt-id", "a1")], &body(true, ""))
        .await
        .unwrap();
    assert_eq!(refused.status.as_u16(), 503);
    assert_eq!(refused.headers["x-not-run-reason"], "draining");
}

#[tokio::test]
async fn new_weights_are_loaded_from_the_store_and_say_something_else() {
    let store = WeightStore::start(WeightLoadProfile {
        duration: Duration::from_millis(1),
        at_once: 2,
    });
    let store = store.await.unwrap();
    let engine = Engine::start(EngineSettings {
        weight_store: Some(store.address()),
        ..settings()
    });
    let engine = engine.await.unwrap();
    let order = r#"{"fencing_number":1,"order":{"kind":"load_weights","weights_version":2}}"#;
    send(engine.address(), "POST", "/v1/orders", &[], order)
        .await
        .unwrap();
    while engine.status().weights_version != WeightsVersion(2) {
        tokio::task::yield_now().await;
    }
    let answer = complete(&engine, &[("x-attempt-id", "a1")], &body(true, ""))
        .await
        .unwrap();
    let (_, text, _) = read_stream(&answer.body);
    assert_eq!(text, said(2).text(TOKENS));
    assert_eq!(store.loads(), 1);
}

#[tokio::test]
async fn kept_cache_is_imported_only_by_the_tenant_and_weights_that_made_it() {
    let store = KvStore::start().await.unwrap();
    let long = "x".repeat(400);
    let body = format!(r#"{{"model":"model","prompt":"{long}","max_tokens":2}}"#);
    let reference = format!("{}/10/90", store.address());
    let made = Engine::start(settings()).await.unwrap();
    let chain = ("x-prefix-chain", "10:90,20:100");
    let export = [
        ("x-attempt-id", "a1"),
        ("x-tenant", "t"),
        chain,
        ("x-kv-export", &reference),
    ];
    send(made.address(), "POST", "/v1/completions", &export, &body)
        .await
        .unwrap();
    while store.prefixes() == 0 {
        tokio::task::yield_now().await;
    }
    for (tenant, cached) in [("u", 0), ("t", 90)] {
        let engine = Engine::start(settings()).await.unwrap();
        let import = [
            ("x-attempt-id", "a1"),
            ("x-tenant", tenant),
            chain,
            ("x-kv-import", &reference),
        ];
        let answer = send(engine.address(), "POST", "/v1/completions", &import, &body).await;
        let expected = format!(r#""cached_tokens":{cached}"#);
        let answer = answer.unwrap().body;
        assert!(answer.contains(&expected), "{tenant}: {answer}");
    }
}

#[tokio::test]
async fn cache_events_are_numbered_and_a_lost_one_leaves_a_gap() {
    let engine = Engine::start(settings()).await.unwrap();
    let ask = |attempt, chain| [("x-attempt-id", attempt), ("x-prefix-chain", chain)];
    complete(&engine, &ask("a1", "10:1"), &body(true, ""))
        .await
        .unwrap();
    engine.set_faults(EngineFaults {
        lost_events_permille: 1_000,
        ..EngineFaults::default()
    });
    complete(&engine, &ask("a2", "20:1"), &body(true, ""))
        .await
        .unwrap();
    engine.set_faults(EngineFaults::default());
    complete(&engine, &ask("a3", "30:1"), &body(true, ""))
        .await
        .unwrap();
    let events = send(engine.address(), "GET", "/v1/cache/events?from=1", &[], "")
        .await
        .unwrap();
    let sequences: Vec<u64> = events
        .body
        .lines()
        .map(|line| serde_json::from_str::<serde_json::Value>(line).unwrap())
        .map(|event| event["sequence"].as_u64().unwrap())
        .collect();
    assert_eq!(sequences, vec![1, 3]);
}
