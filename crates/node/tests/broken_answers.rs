//! Back ends that break off, lie or garble their answers.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use support::{
    Cluster, Script, ScriptedBackEnd, SeenRequest, chunk_event, done_event, granted, last_event,
    stream_events, test_settings,
};
use yare::parameterized;

const TEXTS: &[&str] = &["a", "b", "c", "d"];

/// Answers resumptions and continuations with the rest of the stream, and first attempts with
/// `first`.
fn rest_or(request: &SeenRequest, first: impl FnOnce(&SeenRequest) -> Script) -> Script {
    let from = match request.path.split_once("/stream?from=") {
        Some((_, from)) => Some(from),
        None => request.headers.get("x-continue-from").map(String::as_str),
    };
    match from {
        Some(from) => Script::stream(request, &stream_events(TEXTS, from.parse().unwrap())),
        None => first(request),
    }
}

fn events(indexes: &[u64]) -> Vec<String> {
    let event = |index: &u64| match TEXTS.get(*index as usize) {
        Some(text) => chunk_event(*index, text),
        None => last_event(*index),
    };
    indexes.iter().map(event).collect()
}

fn with_done(mut events: Vec<String>) -> Vec<String> {
    events.push(done_event());
    events
}

fn without_index() -> String {
    "data: {\"choices\":[]}\n\n".to_owned()
}

fn huge_event() -> String {
    format!("id: 2\ndata: \"{}\"\n\n", "x".repeat(300 * 1024))
}

#[parameterized(
    truncated = { events(&[0, 1]), 2 },
    truncated_before_any_chunk = { vec![], 0 },
    truncated_inside_an_event = { vec![chunk_event(0, "a"), "id: 1\ndata: {\"cho".to_owned()], 1 },
    truncated_before_the_end_mark = { events(&[0, 1, 2, 3, 4]), 5 },
    chunk_missing = { with_done(events(&[0, 1, 3, 4])), 2 },
    usage_missing = { with_done(events(&[0, 1, 2])), 3 },
    index_missing = { vec![chunk_event(0, "a"), without_index()], 1 },
    event_too_large = { vec![chunk_event(0, "a"), chunk_event(1, "b"), huge_event()], 2 },
)]
#[test_macro(tokio::test)]
async fn a_broken_stream_is_resumed_at_the_next_chunk(first: Vec<String>, resumed_from: u64) {
    let script = move |r: &SeenRequest| rest_or(r, |r| Script::broken_stream(r, &first));
    let mut engine = ScriptedBackEnd::start(4, script).await;
    let cluster = Cluster::start(&[&engine], &[]);
    let mut caller = cluster.caller().await;

    let answer = caller.chat(&[], &Cluster::stream_body()).await;

    assert_eq!(answer.texts(), TEXTS, "{answer:?}");
    assert!(answer.is_done());
    let first = engine.next_request().await;
    let resumed = engine.next_request().await;
    let path = format!(
        "/v1/attempts/{}/stream?from={resumed_from}",
        first.attempt()
    );
    assert_eq!((resumed.method.as_str(), &resumed.path), ("GET", &path));
    assert_ne!(resumed.attempt(), first.attempt());
    assert_ne!(resumed.connection, first.connection);
    assert_eq!(resumed.header("x-engine-incarnation"), "4");
}

#[parameterized(
    duplicated = { &[0, 0, 1, 0, 1, 2, 3, 4, 4] },
    reordered = { &[1, 0, 4, 3, 2] },
    reordered_and_duplicated = { &[2, 2, 1, 1, 0, 0, 4, 3] },
)]
#[test_macro(tokio::test)]
async fn chunks_reach_the_caller_once_and_in_order(indexes: &'static [u64]) {
    let engine = ScriptedBackEnd::start(4, |r: &SeenRequest| {
        Script::stream(r, &with_done(events(indexes)))
    });
    let cluster = Cluster::start(&[&engine.await], &[]);
    let mut caller = cluster.caller().await;
    let answer = caller.chat(&[], &Cluster::stream_body()).await;
    assert_eq!(answer.body, with_done(events(&[0, 1, 2, 3, 4])).concat());
    assert_eq!(answer.header("x-ryerouter-attempts"), "1");
}

#[tokio::test]
async fn a_stream_that_trickles_in_arrives_whole() {
    let engine = ScriptedBackEnd::start(4, |r: &SeenRequest| {
        match Script::stream(r, &stream_events(TEXTS, 0)) {
            Script::Write(bytes) => Script::Trickle(bytes),
            other => other,
        }
    });
    let cluster = Cluster::start(&[&engine.await], &[]);
    let mut caller = cluster.caller().await;
    let answer = caller.chat(&[], &Cluster::stream_body()).await;
    assert_eq!(answer.body, stream_events(TEXTS, 0).concat());
}

#[tokio::test]
async fn a_stream_goes_on_at_another_engine_when_its_own_has_forgotten_it() {
    let script = |r: &SeenRequest| {
        if r.method == "GET" {
            return Script::whole(r, 404, &["x-run-state: not-run"], "{}");
        }
        rest_or(r, |r| Script::broken_stream(r, &events(&[0, 1])))
    };
    let mut first = ScriptedBackEnd::start(4, script).await;
    let mut second = ScriptedBackEnd::start(9, script).await;
    let cluster = Cluster::start(&[&first, &second], &[]);
    let mut caller = cluster.caller().await;

    let answer = caller.chat(&[], &Cluster::stream_body()).await;

    assert_eq!(answer.texts(), TEXTS, "{answer:?}");
    assert!(answer.is_done());
    if answer.header("x-ryerouter-back-end") == "engine-1" {
        std::mem::swap(&mut first, &mut second);
    }
    let original = first.next_request().await;
    let continued = second.next_request().await;
    assert_eq!(continued.header("x-continue-from"), "2");
    assert_eq!(continued.header("x-weights-version"), "1");
    let expected = original.body.replace("]}", "],\"continue_tokens\":\"ab\"}");
    assert_eq!(continued.body, expected);
}

#[tokio::test]
async fn a_stream_that_cannot_go_on_ends_with_an_error_and_no_end_mark() {
    let script = |r: &SeenRequest| {
        if r.number == 0 {
            Script::broken_stream(r, &events(&[0, 1]))
        } else {
            Script::WriteAndClose(Vec::new())
        }
    };
    let engine = ScriptedBackEnd::start(4, script).await;
    let cluster = Cluster::start(&[&engine], &[]);
    let mut caller = cluster.caller().await;
    let answer = caller.chat(&[], &Cluster::stream_body()).await;
    assert_eq!(answer.texts(), ["a", "b"]);
    assert!(!answer.is_done());
    assert!(answer.body.contains("data: {\"error\":"), "{answer:?}");
    assert!(answer.body.contains("the request ran"), "{answer:?}");
}

fn wrong_attempt(request: &SeenRequest) -> Script {
    let mut forged = request.clone();
    let other = "000000000000000000000000000000ff".to_owned();
    forged.headers.insert("x-attempt-id".to_owned(), other);
    Script::stream(
        &forged,
        &with_done(vec![chunk_event(0, "stolen"), last_event(1)]),
    )
}

fn wrong_not_run(request: &SeenRequest) -> Script {
    let mut forged = request.clone();
    forged.headers.remove("x-attempt-id");
    Script::not_run(&forged, 503, "draining")
}

fn wrong_weights(request: &SeenRequest) -> Script {
    let Script::Write(bytes) = Script::stream(request, &with_done(vec![last_event(0)])) else {
        unreachable!("streams are written");
    };
    let text = String::from_utf8(bytes).unwrap();
    Script::Write(
        text.replace("x-weights-version: 1", "x-weights-version: 2")
            .into_bytes(),
    )
}

fn no_stream(request: &SeenRequest) -> Script {
    Script::whole(request, 200, &["content-type: application/json"], "{}")
}

fn failure(request: &SeenRequest) -> Script {
    Script::whole(request, 500, &[], "stolen")
}

fn garbage(_: &SeenRequest) -> Script {
    Script::WriteAndClose(b"\x00\x01 no HTTP at all\r\n\r\n".to_vec())
}

fn early_close(_: &SeenRequest) -> Script {
    Script::WriteAndClose(Vec::new())
}

#[parameterized(
    by_wrong_attempt = { wrong_attempt },
    by_wrong_not_run = { wrong_not_run },
    by_wrong_weights = { wrong_weights },
    by_no_stream = { no_stream },
    by_failure = { failure },
    by_garbage = { garbage },
    by_early_close = { early_close },
)]
#[test_macro(tokio::test)]
async fn an_answer_that_proves_nothing_is_discarded(bad: fn(&SeenRequest) -> Script) {
    let failed = Arc::new(AtomicBool::new(false));
    let script = move |failed: Arc<AtomicBool>| {
        move |r: &SeenRequest| {
            if r.method == "GET" {
                return Script::not_run(r, 404, "incarnation_mismatch");
            }
            if failed.swap(true, Ordering::SeqCst) {
                return Script::stream(r, &stream_events(TEXTS, 0));
            }
            bad(r)
        }
    };
    let first = ScriptedBackEnd::start(4, script(failed.clone())).await;
    let second = ScriptedBackEnd::start(9, script(failed.clone())).await;
    let cluster = Cluster::start(&[&first, &second], &[]);
    let mut caller = cluster.caller().await;

    let answer = caller.chat(&[], &Cluster::stream_body()).await;

    assert!(failed.load(Ordering::SeqCst));
    assert_eq!(answer.texts(), TEXTS, "{answer:?}");
    assert!(answer.is_done());
}

#[tokio::test]
async fn a_mismatch_is_not_run_and_tried_again() {
    let script = |r: &SeenRequest| {
        if r.number == 0 {
            Script::not_run(r, 412, "weights_mismatch")
        } else {
            Script::stream(r, &stream_events(TEXTS, 0))
        }
    };
    let first = ScriptedBackEnd::start(4, script).await;
    let second = ScriptedBackEnd::start(4, |r: &SeenRequest| {
        Script::stream(r, &stream_events(TEXTS, 0))
    })
    .await;
    let cluster = Cluster::start(&[&first, &second], &[]);
    let mut caller = cluster.caller().await;
    for _ in 0..8 {
        let answer = caller.chat(&[], &Cluster::stream_body()).await;
        assert!(answer.is_done(), "{answer:?}");
    }
}

#[tokio::test]
async fn a_rejection_reaches_the_caller_in_the_engines_words() {
    let engine = ScriptedBackEnd::start(4, |r: &SeenRequest| {
        let headers = ["x-run-state: not-run", "x-not-run-reason: rejected"];
        Script::whole(r, 400, &headers, "{\"error\":{\"message\":\"too long\"}}")
    });
    let cluster = Cluster::start(&[&engine.await], &[]);
    let mut caller = cluster.caller().await;
    let answer = caller.chat(&[], &Cluster::stream_body()).await;
    assert_eq!(answer.status, 400);
    assert_eq!(answer.json()["error"]["message"], "too long");
    assert_eq!(answer.header("x-ryerouter-run-state"), "not-run");
    assert_eq!(answer.header("x-ryerouter-refusal-reason"), "rejected");
}

#[tokio::test]
async fn a_late_answer_reaches_nobody() {
    let script = |r: &SeenRequest| {
        if r.method == "GET" {
            return Script::not_run(r, 404, "incarnation_mismatch");
        }
        if r.body.contains("slow") {
            let Script::Write(late) = Script::stream(r, &stream_events(&["late"], 0)) else {
                unreachable!("streams are written");
            };
            return Script::WriteWaitWrite(Vec::new(), late);
        }
        Script::stream(r, &stream_events(TEXTS, 0))
    };
    let mut engine = ScriptedBackEnd::start(4, script).await;
    let mut settings = test_settings();
    settings.threads = 1;
    settings.answer_head_timeout = std::time::Duration::from_millis(50);
    let cluster = Cluster::start_with(settings, granted(), &[&engine], &[]);
    let mut caller = cluster.caller().await;

    let slow = Cluster::stream_body().replace("hello", "slow");
    let refused = caller.chat(&[], &slow).await;
    assert_eq!(refused.status, 503, "{refused:?}");
    assert_eq!(refused.header("x-ryerouter-run-state"), "unknown");
    engine.next_closed_connection().await;
    engine.release();
    let answer = caller.chat(&[], &Cluster::stream_body()).await;
    assert_eq!(answer.texts(), TEXTS, "{answer:?}");
}
