//! Requests that callers get wrong.

mod support;

use support::{Cluster, Script, ScriptedBackEnd, granted, stream_events, test_settings};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use yare::parameterized;

const CHAT: &str = "/v1/chat/completions";

async fn engine() -> ScriptedBackEnd {
    ScriptedBackEnd::start(4, |r| Script::stream(r, &stream_events(&["a"], 0))).await
}

#[parameterized(
    no_json = { "hello", 400, "invalid_json", "not a JSON object" },
    cut_json = { "{\"model\":\"appraiser\"", 400, "invalid_json", "EOF" },
    array = { "[]", 400, "invalid_json", "expected an object" },
    field_twice = { "{\"model\":\"appraiser\",\"model\":\"x\"}", 400, "invalid_json", "'model' is given twice" },
    no_model = { "{\"messages\":[{}]}", 400, "invalid_field", "'model': is missing" },
    null_model = { "{\"model\":null,\"messages\":[{}]}", 400, "invalid_field", "'model': is missing" },
    model_no_text = { "{\"model\":7,\"messages\":[{}]}", 400, "invalid_field", "'model': invalid type" },
    unknown_model = { "{\"model\":\"nope\",\"messages\":[{}]}", 404, "model_not_found", "'nope' does not exist" },
    no_messages = { "{\"model\":\"appraiser\"}", 400, "invalid_field", "'messages': is missing" },
    empty_messages = { "{\"model\":\"appraiser\",\"messages\":[]}", 400, "invalid_field", "at least one" },
    messages_no_list = { "{\"model\":\"appraiser\",\"messages\":\"a\"}", 400, "invalid_field", "'messages'" },
    several_choices = { "{\"model\":\"appraiser\",\"messages\":[{}],\"n\":2}", 400, "invalid_field", "'n': must be 1" },
    stream_no_flag = { "{\"model\":\"appraiser\",\"messages\":[{}],\"stream\":1}", 400, "invalid_field", "'stream'" },
    negative_limit = { "{\"model\":\"appraiser\",\"messages\":[{}],\"max_tokens\":-1}", 400, "invalid_field", "'max_tokens'" },
)]
#[test_macro(tokio::test)]
async fn a_bad_body_is_refused_with_its_fault(body: &str, status: u16, code: &str, message: &str) {
    let mut engine = engine().await;
    let cluster = Cluster::start(&[&engine], &[]);
    let mut caller = cluster.caller().await;

    let answer = caller.chat(&[], body).await;

    assert_eq!(answer.status, status, "{answer:?}");
    let error = answer.json()["error"].clone();
    assert_eq!(error["code"], code);
    assert!(
        error["message"].as_str().unwrap().contains(message),
        "{error}"
    );
    assert!(error["type"].is_string());
    assert_eq!(answer.header("x-ryerouter-run-state"), "not-run");
    assert!(!answer.header("x-request-id").is_empty());
    assert!(engine.seen_request().is_none());
    // The same connection still serves.
    assert!(caller.chat(&[], &Cluster::stream_body()).await.is_done());
}

#[parameterized(
    priority = { "x-ryerouter-priority", "urgent", "'urgent' is neither" },
    deadline_word = { "x-ryerouter-deadline-ms", "soon", "'soon' is not a number" },
    deadline_zero = { "x-ryerouter-deadline-ms", "0", "'0' is not a number" },
    deadline_huge = { "x-ryerouter-deadline-ms", "99999999999999999999", "is not a number" },
    repeat = { "x-ryerouter-repeat", "maybe", "'maybe' is neither" },
    key_with_space = { "idempotency-key", "a b", "has spaces" },
    key_empty = { "idempotency-key", "", "is empty" },
    id_with_quote = { "x-request-id", "a\"b", "quotes" },
)]
#[test_macro(tokio::test)]
async fn a_bad_header_is_refused_with_its_fault(name: &str, value: &str, message: &str) {
    let cluster = Cluster::start(&[&engine().await], &[]);
    let mut caller = cluster.caller().await;
    let answer = caller.chat(&[(name, value)], &Cluster::stream_body()).await;
    assert_eq!(answer.status, 400, "{answer:?}");
    let error = answer.json()["error"]["message"].to_string();
    assert!(error.contains(name) && error.contains(message), "{error}");
    assert!(caller.chat(&[], &Cluster::stream_body()).await.is_done());
}

#[parameterized(
    wrong_key = { "Bearer wrong" },
    other_scheme = { "Basic dGVzdC1rZXk=" },
    no_key = { "Bearer " },
    bare_key = { "test-key" },
    hash_as_key = { "Bearer 62af8704764faf8ea82fc61ce9c4c3908b6cb97d463a634e9e587d7c885db0ef" },
)]
#[test_macro(tokio::test)]
async fn a_wrong_key_is_refused(authorization: &str) {
    let mut engine = engine().await;
    let cluster = Cluster::start(&[&engine], &[]);
    let mut caller = cluster.caller().await;
    let headers = [("authorization", authorization)];
    for (method, path) in [
        ("POST", CHAT),
        ("GET", "/v1/models"),
        ("GET", "/services/alerts/x"),
    ] {
        let answer = caller.send(method, path, &headers, "{}").await;
        assert_eq!(answer.status, 401, "{method} {path}");
        assert_eq!(answer.json()["error"]["code"], "invalid_api_key");
    }
    assert!(engine.seen_request().is_none());
}

#[parameterized(
    unknown_path = { "GET", "/v2/nothing", 404, "not_found" },
    unknown_service = { "POST", "/services/nothing/x", 404, "service_not_found" },
    model_as_service = { "POST", "/services/models/x", 404, "service_not_found" },
    wrong_method = { "GET", CHAT, 405, "method_not_allowed" },
    models_wrong_method = { "POST", "/v1/models", 405, "method_not_allowed" },
)]
#[test_macro(tokio::test)]
async fn a_wrong_path_is_refused(method: &str, path: &str, status: u16, code: &str) {
    let cluster = Cluster::start(&[], &[]);
    let answer = cluster.caller().await.send(method, path, &[], "").await;
    assert_eq!(answer.status, status);
    assert_eq!(answer.json()["error"]["code"], code);
}

/// Sends bytes as they are and returns all that comes back until the node closes.
async fn send_raw(cluster: &Cluster, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(cluster.node.address()).await.unwrap();
    // The node may refuse before it has read all.
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

fn huge_header() -> Vec<u8> {
    format!(
        "GET / HTTP/1.1\r\nhost: x\r\nx: {}\r\n\r\n",
        "y".repeat(1 << 20)
    )
    .into_bytes()
}

#[parameterized(
    no_http = { b"hello there\r\n\r\n".to_vec(), "400" },
    bad_version = { b"GET / HTTP/9.9\r\n\r\n".to_vec(), "400" },
    bad_header = { b"GET / HTTP/1.1\r\nbad header\r\n\r\n".to_vec(), "400" },
    two_lengths = { b"POST / HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n".to_vec(), "400" },
    over_the_limit = { huge_header(), "431" },
)]
#[test_macro(tokio::test)]
async fn malformed_http_is_refused(bytes: Vec<u8>, status: &str) {
    let cluster = Cluster::start(&[&engine().await], &[]);
    let answer = send_raw(&cluster, &bytes).await;
    // A header section beyond the limit may be cut off before the answer could be read.
    let refused = answer.starts_with(&format!("HTTP/1.1 {status}"));
    assert!(
        refused || (status == "431" && answer.is_empty()),
        "{answer}"
    );
    let mut caller = cluster.caller().await;
    assert!(caller.chat(&[], &Cluster::stream_body()).await.is_done());
}

#[parameterized(
    declared = { "content-length: 100000\r\n\r\n" },
    chunked = { "transfer-encoding: chunked\r\n\r\n800\r\n" },
)]
#[test_macro(tokio::test)]
async fn a_body_over_the_limit_is_refused(head_end: &str) {
    let mut engine = engine().await;
    let mut settings = test_settings();
    settings.max_body_bytes = 1_000;
    let cluster = Cluster::start_with(settings, granted(), &[&engine], &[]);
    let head = format!("POST {CHAT} HTTP/1.1\r\nauthorization: Bearer test-key\r\n{head_end}");
    let body = "x".repeat(2_048);
    let answer = send_raw(&cluster, format!("{head}{body}").as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
    assert!(engine.seen_request().is_none());
}

#[tokio::test]
async fn bodies_beyond_the_memory_for_all_are_refused_with_when_to_come_back() {
    let mut settings = test_settings();
    settings.max_held_body_bytes = 10;
    let cluster = Cluster::start_with(settings, granted(), &[&engine().await], &[]);
    let answer = cluster
        .caller()
        .await
        .chat(&[], &Cluster::stream_body())
        .await;
    assert_eq!(answer.status, 503);
    assert_eq!(answer.header("x-ryerouter-run-state"), "not-run");
    assert_eq!(answer.header("retry-after"), "1");
}

#[tokio::test]
async fn a_body_that_never_ends_is_given_up() {
    let mut settings = test_settings();
    settings.body_read_timeout = std::time::Duration::from_millis(50);
    let cluster = Cluster::start_with(settings, granted(), &[&engine().await], &[]);
    let head = format!(
        "POST {CHAT} HTTP/1.1\r\nauthorization: Bearer test-key\r\ncontent-length: 9\r\n\r\n{{"
    );
    let answer = send_raw(&cluster, head.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
}

#[tokio::test]
async fn a_head_that_never_ends_is_given_up() {
    let mut settings = test_settings();
    settings.header_read_timeout = std::time::Duration::from_millis(50);
    let cluster = Cluster::start_with(settings, granted(), &[], &[]);
    let answer = send_raw(&cluster, b"GET /healthz HTTP/1.1\r\nx: ").await;
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 408"),
        "{answer}"
    );
}
