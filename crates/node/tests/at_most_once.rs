//! Requests that must run at most once.

mod support;

use ryerouter_core::Timestamp;
use ryerouter_node::traffic::ClaimDecision;
use support::{
    CallerAnswer, Cluster, Script, ScriptedBackEnd, SeenRequest, ServiceCluster, granted,
    test_settings,
};
use yare::parameterized;

const KEYED: &[(&str, &str)] = &[
    ("idempotency-key", "key-1"),
    ("x-ryerouter-repeat", "never"),
];

fn serve(request: &SeenRequest) -> Script {
    Script::whole(request, 200, &[], "done")
}

fn close(_: &SeenRequest) -> Script {
    Script::WriteAndClose(Vec::new())
}

fn cut_head(_: &SeenRequest) -> Script {
    Script::WriteAndClose(b"HTTP/1.1 200 OK\r\nx-att".to_vec())
}

fn cut_body(request: &SeenRequest) -> Script {
    let attempt = request.attempt();
    let head = format!("HTTP/1.1 200 OK\r\nx-attempt-id: {attempt}\r\ncontent-length: 9\r\n\r\nab");
    Script::WriteAndClose(head.into_bytes())
}

fn draining(request: &SeenRequest) -> Script {
    Script::not_run(request, 503, "draining")
}

async fn post(cluster: &Cluster, headers: &[(&str, &str)]) -> CallerAnswer {
    let mut caller = cluster.caller().await;
    caller
        .send("POST", ServiceCluster::PATH, headers, "alert")
        .await
}

fn requests_seen(back_end: &mut ScriptedBackEnd) -> usize {
    std::iter::from_fn(|| back_end.seen_request()).count()
}

#[parameterized(
    closed_unanswered = { close, KEYED },
    cut_in_the_head = { cut_head, KEYED },
    cut_in_the_body = { cut_body, KEYED },
    unmarked_post = { close, &[] },
)]
#[test_macro(tokio::test)]
async fn never_sent_again_once_bytes_were_written(
    fault: fn(&SeenRequest) -> Script,
    headers: &'static [(&'static str, &'static str)],
) {
    let mut first = ScriptedBackEnd::start(0, fault).await;
    let mut second = ScriptedBackEnd::start(0, fault).await;
    let cluster = Cluster::start(&[], &[&first, &second]);

    let answer = post(&cluster, headers).await;

    assert_eq!(answer.status, 503, "{answer:?}");
    assert_eq!(answer.header("x-ryerouter-run-state"), "unknown");
    assert_eq!(answer.header("retry-after"), "");
    assert_eq!(answer.header("x-should-retry"), "false");
    assert_eq!(requests_seen(&mut first) + requests_seen(&mut second), 1);
    assert!(cluster.claims.released.lock().unwrap().is_empty());
}

#[tokio::test]
async fn sent_elsewhere_when_it_certainly_did_not_run() {
    let refusing = ScriptedBackEnd::start(0, draining).await;
    let dead = ScriptedBackEnd::dead().await;
    let mut serving = ScriptedBackEnd::start(0, serve).await;
    let cluster = Cluster::start(&[], &[&refusing, &dead, &serving]);
    for _ in 0..8 {
        let answer = post(&cluster, KEYED).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(answer.header("x-ryerouter-back-end"), "service-2");
    }
    assert_eq!(requests_seen(&mut serving), 8);
}

#[tokio::test]
async fn its_claim_is_given_back_when_nothing_ran() {
    let refusing = ScriptedBackEnd::start(0, draining).await;
    let cluster = Cluster::start(&[], &[&refusing]);
    let answer = post(&cluster, KEYED).await;
    assert_eq!(answer.status, 503, "{answer:?}");
    assert_eq!(answer.header("x-ryerouter-run-state"), "not-run");
    assert!(!answer.header("retry-after").is_empty());
    assert_eq!(cluster.claims.released.lock().unwrap().len(), 1);
    assert!(cluster.claims.ended.lock().unwrap().is_empty());
}

#[tokio::test]
async fn its_claim_is_kept_when_it_ran() {
    let serving = ScriptedBackEnd::start(0, serve).await;
    let cluster = Cluster::start(&[], &[&serving]);
    assert_eq!(post(&cluster, KEYED).await.status, 200);
    let claimed = cluster.claims.claimed.lock().unwrap().clone();
    assert_eq!(claimed[0].key.as_str(), "key-1");
    assert_eq!(claimed[0].tenant.as_str(), "tenant");
    assert!(cluster.claims.released.lock().unwrap().is_empty());
    assert_eq!(*cluster.claims.ended.lock().unwrap(), claimed);
}

#[tokio::test]
async fn a_key_of_the_routers_own_needs_no_claim() {
    let serving = ScriptedBackEnd::start(0, serve).await;
    let cluster = Cluster::start(&[], &[&serving]);
    let answer = post(&cluster, &[("x-ryerouter-repeat", "never")]).await;
    assert_eq!(answer.status, 200);
    assert!(cluster.claims.claimed.lock().unwrap().is_empty());
}

fn unavailable() -> ClaimDecision {
    ClaimDecision::Unavailable {
        retry_after: std::time::Duration::from_millis(2_500),
    }
}

fn lapsed() -> ClaimDecision {
    ClaimDecision::Granted {
        dispatch_before: Timestamp::ZERO,
    }
}

#[parameterized(
    claimed_before = { ClaimDecision::AlreadyClaimed, 409, "unknown", "already_claimed", "" },
    no_majority = { unavailable(), 503, "unknown", "claim_unavailable", "3" },
    grant_lapsed = { lapsed(), 503, "not-run", "claim_unavailable", "1" },
)]
#[test_macro(tokio::test)]
async fn not_sent_without_a_claim(
    decision: ClaimDecision,
    status: u16,
    run_state: &str,
    reason: &str,
    retry_after: &str,
) {
    let mut serving = ScriptedBackEnd::start(0, serve).await;
    let cluster = Cluster::start_with(test_settings(), decision, &[], &[&serving]);
    let answer = post(&cluster, KEYED).await;
    assert_eq!(answer.status, status, "{answer:?}");
    assert_eq!(answer.header("x-ryerouter-run-state"), run_state);
    assert_eq!(answer.header("x-ryerouter-refusal-reason"), reason);
    assert_eq!(answer.header("retry-after"), retry_after);
    assert_eq!(requests_seen(&mut serving), 0);
}

#[parameterized(
    keyed = { KEYED, "unknown" },
    keyed_unmarked_post = { &[("idempotency-key", "key-1")], "unknown" },
    keyed_badly_marked = { &[("idempotency-key", "key-1"), ("x-ryerouter-repeat", "nevr")], "unknown" },
    keyed_repeatable = { &[("idempotency-key", "key-1"), ("x-ryerouter-repeat", "allowed")], "not-run" },
    marked_without_key = { &[("x-ryerouter-repeat", "never")], "not-run" },
)]
#[test_macro(tokio::test)]
async fn refused_before_its_claim_only_a_key_of_the_routers_own_is_not_run(
    headers: &'static [(&'static str, &'static str)],
    run_state: &str,
) {
    let serving = ScriptedBackEnd::start(0, serve).await;
    let cluster = Cluster::start(&[], &[&serving]);
    let mut bad_key = headers.to_vec();
    bad_key.push(("authorization", "Bearer wrong"));
    let unauthorized = post(&cluster, &bad_key).await;
    assert_eq!(unauthorized.status, 401);
    assert_eq!(unauthorized.header("x-ryerouter-run-state"), run_state);

    cluster.node.begin_stop();
    let stopping = post(&cluster, headers).await;
    assert_eq!(stopping.status, 503, "{stopping:?}");
    assert_eq!(stopping.header("x-ryerouter-run-state"), run_state);
    assert_eq!(stopping.header("retry-after"), "1");
    assert!(cluster.claims.claimed.lock().unwrap().is_empty());
}

#[tokio::test]
async fn a_request_that_may_be_repeated_is_sent_again() {
    let mut failing = ScriptedBackEnd::start(0, close).await;
    let mut serving = ScriptedBackEnd::start(0, serve).await;
    let cluster = Cluster::start_with(test_settings(), granted(), &[], &[&failing, &serving]);
    // The back end is chosen by the request's id; some request meets the failing one first.
    for _ in 0..64 {
        let answer = post(&cluster, &[("x-ryerouter-repeat", "allowed")]).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(requests_seen(&mut serving), 1);
        if requests_seen(&mut failing) > 0 {
            assert_eq!(answer.header("x-ryerouter-attempts"), "2");
            return;
        }
    }
    panic!("no request met the failing back end");
}
