//! Callers that leave, and planned stops.

mod support;

use futures_util::future::join_all;
use http_body_util::BodyExt;
use support::{
    Caller, Cluster, Script, ScriptedBackEnd, SeenRequest, chunk_event, done_event, granted,
    last_event, read, stream_events, test_settings,
};

const CHAT: &str = "/v1/chat/completions";

fn in_two(request: &SeenRequest) -> Script {
    let first = [chunk_event(0, "a")];
    let then = [chunk_event(1, "b"), last_event(2), done_event()];
    if request.method == "DELETE" {
        return Script::whole(request, 200, &[], "{}");
    }
    Script::stream_in_two(request, &first, &then)
}

#[tokio::test]
async fn an_attempt_is_cancelled_when_its_caller_leaves() {
    let mut engine = ScriptedBackEnd::start(4, in_two).await;
    let cluster = Cluster::start(&[&engine], &[]);
    let mut caller = cluster.caller().await;
    let mut answer = caller
        .open("POST", CHAT, &[], &Cluster::stream_body())
        .await;
    assert!(answer.body_mut().frame().await.unwrap().is_ok());
    let attempt = engine.next_request().await;

    drop(answer);
    drop(caller);

    let cancel = engine.next_request().await;
    assert_eq!(cancel.method, "DELETE");
    assert_eq!(cancel.path, format!("/v1/attempts/{}", attempt.attempt()));
    assert_eq!(engine.next_closed_connection().await, attempt.connection);
}

#[tokio::test]
async fn an_attempt_without_an_answer_is_cancelled_when_its_caller_leaves() {
    let script = |r: &SeenRequest| match r.method.as_str() {
        "DELETE" => Script::whole(r, 200, &[], "{}"),
        _ => Script::Hang,
    };
    let mut engine = ScriptedBackEnd::start(4, script).await;
    let cluster = Cluster::start(&[&engine], &[]);
    let mut caller = cluster.caller().await;
    let body = Cluster::stream_body();
    let waiting = tokio::spawn(async move { caller.chat(&[], &body).await });
    let attempt = engine.next_request().await;
    waiting.abort();
    let cancel = engine.next_request().await;
    assert_eq!(cancel.path, format!("/v1/attempts/{}", attempt.attempt()));
}

#[tokio::test]
async fn a_caller_that_takes_nothing_is_cut_off_and_its_attempt_cancelled() {
    let script = |r: &SeenRequest| match r.method.as_str() {
        "DELETE" => Script::whole(r, 200, &[], "{}"),
        _ => Script::Endless,
    };
    let mut engine = ScriptedBackEnd::start(4, script).await;
    let mut settings = test_settings();
    settings.caller_stall_timeout = std::time::Duration::from_millis(200);
    let cluster = Cluster::start_with(settings, granted(), &[&engine], &[]);
    let mut caller = cluster.caller().await;
    let answer = caller
        .open("POST", CHAT, &[], &Cluster::stream_body())
        .await;
    let attempt = engine.next_request().await;
    let cancel = engine.next_request().await;
    assert_eq!(cancel.path, format!("/v1/attempts/{}", attempt.attempt()));
    drop(answer);
}

#[tokio::test]
async fn a_planned_stop_cuts_no_stream_and_refuses_new_work() {
    let engine = ScriptedBackEnd::start(4, in_two).await;
    let cluster = Cluster::start(&[&engine], &[]);
    let mut caller = cluster.caller().await;
    let open = caller
        .open("POST", CHAT, &[], &Cluster::stream_body())
        .await;
    let mut late = cluster.caller().await;

    cluster.node.begin_stop();

    let ready = late.get("/readyz").await;
    assert_eq!((ready.status, ready.body.as_str()), (503, "stopping\n"));
    assert_eq!(late.get("/healthz").await.status, 200);
    let refused = late.chat(&[], &Cluster::stream_body()).await;
    assert_eq!(refused.status, 503);
    assert_eq!(refused.header("x-ryerouter-run-state"), "not-run");
    assert_eq!(refused.header("x-ryerouter-refusal-reason"), "stopping");
    assert_eq!(refused.header("retry-after"), "1");
    let mut unconnected = cluster.caller().await;
    assert_eq!(
        unconnected.chat(&[], &Cluster::stream_body()).await.status,
        503
    );

    let stopped = tokio::spawn(cluster.node.stop());
    engine.release();
    let answer = read(open).await;
    assert_eq!(answer.texts(), ["a", "b"]);
    assert!(answer.is_done());
    stopped.await.unwrap();
}

#[tokio::test]
async fn callers_with_the_same_request_id_each_get_their_own_answer() {
    let script = |r: &SeenRequest| {
        let mark = r.body.split("mark-").nth(1).unwrap();
        let mark = mark.split('"').next().unwrap();
        Script::stream_in_two(
            r,
            &[chunk_event(0, mark)],
            &[chunk_event(1, mark), last_event(2), done_event()],
        )
    };
    let engine = ScriptedBackEnd::start(4, script).await;
    let cluster = Cluster::start(&[&engine], &[]);
    let address = cluster.node.address();
    let calls = (0..16).map(|number| async move {
        let mut caller = Caller::connect(address).await;
        let mark = format!("mark-{number}");
        let body = Cluster::stream_body().replace("hello", &mark);
        let headers = [("x-request-id", "same")];
        let open = caller.open("POST", CHAT, &headers, &body).await;
        (number, open)
    });
    let open = join_all(calls).await;
    for _ in &open {
        engine.release();
    }
    for (number, open) in open {
        let answer = read(open).await;
        let mark = number.to_string();
        assert_eq!(answer.texts(), [mark.clone(), mark]);
        assert!(answer.is_done());
    }
}

#[tokio::test]
async fn a_node_without_configuration_is_not_ready_and_refuses() {
    let claims = std::sync::Arc::new(support::ScriptedClaims::new(granted()));
    let (_snapshots, receiver) = tokio::sync::watch::channel(std::sync::Arc::default());
    let node = ryerouter_node::traffic::RunningNode::start(
        test_settings(),
        receiver,
        claims,
        ryerouter_node::traffic::ObservationSink::discarding(),
        ryerouter_node::logging::discarding_logger(),
    )
    .unwrap();
    let mut caller = Caller::connect(node.address()).await;
    assert_eq!(caller.get("/readyz").await.status, 503);
    assert_eq!(caller.chat(&[], &Cluster::stream_body()).await.status, 503);
}

#[tokio::test]
async fn a_new_configuration_is_in_force_for_the_next_request() {
    let engine = ScriptedBackEnd::start(4, |r| Script::stream(r, &stream_events(&["a"], 0))).await;
    let cluster = Cluster::start(&[&engine], &[]);
    let mut caller = cluster.caller().await;
    assert!(caller.chat(&[], &Cluster::stream_body()).await.is_done());
    let mut snapshot = (**cluster.snapshots.borrow()).clone();
    let mut catalog = (*snapshot.catalog).clone();
    catalog.version = catalog.version.next();
    catalog.pools.clear();
    snapshot.catalog = std::sync::Arc::new(catalog);
    cluster
        .snapshots
        .send(std::sync::Arc::new(snapshot))
        .unwrap();
    while cluster.metric("ryerouter_config_version").await != Some(2.0) {}
    assert_eq!(caller.chat(&[], &Cluster::stream_body()).await.status, 404);
}
