//! Requests that go well.

mod support;

use support::{Cluster, MODEL, Script, ScriptedBackEnd, ServiceCluster, stream_events};

const TEXTS: &[&str] = &["a", "b", "c"];

#[tokio::test]
async fn a_stream_arrives_whole_and_in_order() {
    let mut engine =
        ScriptedBackEnd::start(4, |r| Script::stream(r, &stream_events(TEXTS, 0))).await;
    let cluster = Cluster::start(&[&engine], &[]);
    let mut caller = cluster.caller().await;

    let headers = [("x-request-id", "my-request")];
    let answer = caller.chat(&headers, &Cluster::stream_body()).await;

    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(answer.texts(), TEXTS);
    assert!(answer.is_done());
    assert_eq!(answer.header("x-request-id"), "my-request");
    assert_eq!(answer.header("x-ryerouter-back-end"), "engine-0");
    assert_eq!(answer.header("x-ryerouter-data-centre"), "default");
    assert_eq!(answer.header("x-ryerouter-attempts"), "1");
    let seen = engine.next_request().await;
    assert_eq!(seen.body, Cluster::stream_body());
    assert_eq!(seen.header("x-tenant"), "tenant");
    assert_eq!(seen.header("x-request-id"), "my-request");
    assert_eq!(seen.header("x-weights-version"), "1");
    assert_eq!(seen.header("x-priority"), "interactive");
    assert!(!seen.header("x-prefix-chain").is_empty());
    assert_eq!(seen.header("authorization"), "");
}

#[tokio::test]
async fn connections_to_back_ends_are_used_again_after_whole_answers() {
    let mut engine =
        ScriptedBackEnd::start(4, |r| Script::stream(r, &stream_events(TEXTS, 0))).await;
    let mut settings = support::test_settings();
    settings.threads = 1;
    let cluster = Cluster::start_with(settings, support::granted(), &[&engine], &[]);
    let mut caller = cluster.caller().await;
    for _ in 0..3 {
        assert!(caller.chat(&[], &Cluster::stream_body()).await.is_done());
    }
    for _ in 0..3 {
        assert_eq!(engine.next_request().await.connection, 0);
    }
}

#[tokio::test]
async fn a_whole_completion_is_passed_on_as_it_is() {
    let body = r#"{"choices":[],"usage":{"prompt_tokens":9}}"#;
    let engine = ScriptedBackEnd::start(4, move |r| {
        Script::whole(
            r,
            200,
            &["x-engine-incarnation: 4", "x-weights-version: 1"],
            body,
        )
    })
    .await;
    let cluster = Cluster::start(&[&engine], &[]);
    let mut caller = cluster.caller().await;
    let answer = caller.chat(&[], &Cluster::chat_body(false)).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(answer.body, body);
    assert_eq!(answer.header("content-type"), "application/json");
    let counted = cluster.metric("ryerouter_prompt_tokens_total{pool=\"models\"}");
    assert_eq!(counted.await, Some(9.0));
}

#[tokio::test]
async fn a_plain_service_gets_method_path_headers_and_body() {
    let mut service = ScriptedBackEnd::start(0, |r| {
        Script::whole(r, 201, &["x-own: 1", "x-engine-waiting: 5"], "sent")
    })
    .await;
    let cluster = Cluster::start(&[], &[&service]);
    let mut caller = cluster.caller().await;
    let headers = [("x-custom", "7"), ("x-attempt-id", "forged")];
    let path = format!("{}?to=dock", ServiceCluster::PATH);
    let answer = caller.send("PUT", &path, &headers, "alert").await;
    assert_eq!((answer.status, answer.body.as_str()), (201, "sent"));
    assert_eq!(answer.header("x-own"), "1");
    assert_eq!(answer.header("x-engine-waiting"), "");
    let seen = service.next_request().await;
    assert_eq!(
        (seen.method.as_str(), seen.path.as_str()),
        ("PUT", "/send?to=dock")
    );
    assert_eq!(seen.body, "alert");
    assert_eq!(seen.header("x-custom"), "7");
    assert_ne!(seen.attempt(), "forged");
    assert_eq!(seen.header("authorization"), "");
}

#[tokio::test]
async fn health_readiness_metrics_and_models_answer() {
    let cluster = Cluster::start(&[], &[]);
    let mut caller = cluster.caller().await;
    assert_eq!(caller.get("/healthz").await.status, 200);
    assert_eq!(caller.get("/readyz").await.status, 200);
    assert_eq!(cluster.metric("ryerouter_config_version").await, Some(1.0));
    let models = caller.get("/v1/models").await.json();
    assert_eq!(models["data"][0]["id"], MODEL);
}

#[tokio::test]
async fn streams_of_one_http2_connection_each_arrive_whole() {
    let engine = ScriptedBackEnd::start(4, |r| Script::stream(r, &stream_events(TEXTS, 0))).await;
    let cluster = Cluster::start(&[&engine], &[]);
    let stream = tokio::net::TcpStream::connect(cluster.node.address())
        .await
        .unwrap();
    let io = hyper_util::rt::TokioIo::new(stream);
    let executor = hyper_util::rt::TokioExecutor::new();
    let (sender, connection) = hyper::client::conn::http2::handshake(executor, io)
        .await
        .unwrap();
    tokio::spawn(connection);
    let calls = (0..8).map(|_| {
        let mut sender = sender.clone();
        async move {
            let request = hyper::Request::post("http://node/v1/chat/completions")
                .header("authorization", format!("Bearer {}", support::KEY))
                .body(http_body_util::Full::<bytes::Bytes>::from(
                    Cluster::stream_body(),
                ));
            let answer = sender.send_request(request.unwrap()).await.unwrap();
            support::read(answer).await
        }
    });
    for answer in futures_util::future::join_all(calls).await {
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(answer.texts(), TEXTS);
        assert!(answer.is_done());
    }
}
