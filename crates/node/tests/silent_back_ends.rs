//! Kept connections to back ends that have fallen silent while new ones work.

mod support;

use std::time::Duration;

use http_body_util::BodyExt;
use ryerouter_node::traffic::TrafficSettings;
use support::{
    Caller, Cluster, Script, ScriptedBackEnd, SeenRequest, ServiceCluster, granted, test_settings,
};

const CHAT: &str = "/v1/chat/completions";
/// Connections that are kept before the silence.
const KEPT: usize = 3;
/// Far beyond what an answer over loopback takes, and short enough to wait for in a test.
const ANSWER_LIMIT: Duration = Duration::from_secs(2);

/// Far beyond what a test waits for that passes.
const OVERALL_DEADLINE: Duration = Duration::from_secs(20);

/// The first requests are answered once the test lets them, each on a connection of its own; those
/// connections then never answer again.
fn silent_afterwards(request: &SeenRequest) -> Script {
    match Script::whole(request, 200, &[], "done") {
        Script::Write(answer) if request.number < KEPT => {
            Script::WriteWaitWrite(Vec::new(), answer)
        }
        _ if request.connection < KEPT => Script::Hang,
        answer => answer,
    }
}

fn repeatable() -> [(&'static str, &'static str); 1] {
    [("x-ryerouter-repeat", "allowed")]
}

fn settings() -> TrafficSettings {
    TrafficSettings {
        threads: 1,
        answer_head_timeout: ANSWER_LIMIT,
        ..test_settings()
    }
}

async fn keep_connections(cluster: &Cluster, back_end: &mut ScriptedBackEnd, path: &'static str) {
    let mut waiting = Vec::new();
    for _ in 0..KEPT {
        let mut caller = cluster.caller().await;
        let post = async move { post(&mut caller, path).await };
        waiting.push(tokio::spawn(post));
        back_end.next_request().await;
    }
    for _ in 0..KEPT {
        back_end.release();
    }
    for answer in waiting {
        assert_eq!(answer.await.unwrap(), 200);
    }
}

async fn post(caller: &mut Caller, path: &str) -> u16 {
    let body = Cluster::chat_body(false);
    let answer = caller.send("POST", path, &repeatable(), &body).await;
    answer.status
}

#[tokio::test]
async fn one_silent_connection_closes_the_others_to_its_back_end() {
    let mut back_end = ScriptedBackEnd::start(0, silent_afterwards).await;
    let cluster = Cluster::start_with(settings(), granted(), &[], &[&back_end]);
    keep_connections(&cluster, &mut back_end, ServiceCluster::PATH).await;

    let mut caller = cluster.caller().await;
    let first = post(&mut caller, ServiceCluster::PATH).await;
    let second = if first == 200 {
        first
    } else {
        post(&mut caller, ServiceCluster::PATH).await
    };

    assert_eq!(second, 200);
    assert!(back_end.next_request().await.connection < KEPT);
    assert!(back_end.next_request().await.connection >= KEPT);
}

#[tokio::test]
async fn a_cancel_that_is_not_answered_is_sent_again_on_another_connection() {
    let mut engine = ScriptedBackEnd::start(0, silent_afterwards).await;
    let settings = TrafficSettings {
        threads: 1,
        ..test_settings()
    };
    let cluster = Cluster::start_with(settings, granted(), &[&engine], &[]);
    keep_connections(&cluster, &mut engine, CHAT).await;
    let mut caller = cluster.caller().await;
    let waiting = tokio::spawn(async move { post(&mut caller, CHAT).await });
    let attempt = engine.next_request().await;

    waiting.abort();

    let path = format!("/v1/attempts/{}", attempt.attempt());
    let first = engine.next_request().await;
    assert_eq!((&first.method[..], &first.path), ("DELETE", &path));
    assert!(first.connection < KEPT);
    let again = tokio::time::timeout(OVERALL_DEADLINE, engine.next_request()).await;
    let again = again.expect("the engine never hears of it");
    assert_eq!((&again.method[..], &again.path), ("DELETE", &path));
    assert!(again.connection >= KEPT);
}

/// Begins a stream and falls silent in it.
fn silent_in_its_stream(request: &SeenRequest) -> Script {
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-attempt-id: {}\r\ncontent-type: text/event-stream\r\n\
         transfer-encoding: chunked\r\n\r\n3\r\none\r\n",
        request.attempt()
    );
    Script::WriteWaitWrite(head.into_bytes(), Vec::new())
}

#[tokio::test]
async fn a_service_that_falls_silent_in_its_stream_is_given_up() {
    let mut back_end = ScriptedBackEnd::start(0, silent_in_its_stream).await;
    let settings = TrafficSettings {
        engine_idle_timeout: ANSWER_LIMIT,
        ..settings()
    };
    let cluster = Cluster::start_with(settings, granted(), &[], &[&back_end]);
    let mut caller = cluster.caller().await;
    let path = ServiceCluster::PATH;
    let mut answer = caller.open("POST", path, &repeatable(), "work").await;
    let first = answer.body_mut().frame().await.unwrap().unwrap();
    assert_eq!(first.into_data().unwrap(), "one");

    let next = tokio::time::timeout(OVERALL_DEADLINE, answer.body_mut().frame()).await;

    let next = next.expect("the caller waits in vain");
    assert!(matches!(next, Some(Err(_))), "the answer passes for whole");
    assert_eq!(back_end.next_closed_connection().await, 0);
}
