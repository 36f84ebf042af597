//! The object API stand-in keeps the platform's protocol, also while it misbehaves.

mod support;

use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use ryerouter_testbed::standins::objects::{ObjectApi, ObjectApiFaults};
use support::send;
use yare::parameterized;

const CREATE: &[(&str, &str)] = &[("if-none-match", "*")];

#[parameterized(
    create_twice = { &[("if-none-match", "*")], 409 },
    right_version = { &[("if-match", "2")], 200 },
    stale_version = { &[("if-match", "1")], 409 },
    no_condition = { &[], 200 },
    nonsense = { &[("if-match", "x")], 400 },
)]
fn second_write(condition: &[(&str, &str)], expected: u16) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let api = ObjectApi::start(1).await.unwrap();
        let address = api.address();
        let first = send(address, "PUT", "/objects/a/b", CREATE, "1")
            .await
            .unwrap();
        assert_eq!(
            (first.status.as_u16(), first.body.as_str()),
            (200, r#"{"version":2}"#)
        );
        let second = send(address, "PUT", "/objects/a/b", condition, "2")
            .await
            .unwrap();
        assert_eq!(second.status.as_u16(), expected, "{}", second.body);
    });
}

#[tokio::test]
async fn a_lost_answer_has_taken_effect() {
    let api = ObjectApi::start(1).await.unwrap();
    api.set_faults(ObjectApiFaults {
        lost_answers_permille: 1_000,
        ..ObjectApiFaults::default()
    });
    let answer = send(api.address(), "PUT", "/objects/a", CREATE, "7").await;
    assert!(answer.is_none());
    let read = send(api.address(), "GET", "/objects/a", &[], "")
        .await
        .unwrap();
    assert_eq!(read.headers["content-type"], "application/json");
    assert_eq!(read.body, r#"{"key":"a","version":2,"value":7}"#);
    assert_eq!(api.lost_answers(), 1);
}

#[tokio::test]
async fn an_api_that_is_down_carries_nothing_out() {
    let api = ObjectApi::start(1).await.unwrap();
    api.set_faults(ObjectApiFaults {
        down: true,
        ..ObjectApiFaults::default()
    });
    assert!(
        send(api.address(), "PUT", "/objects/a", CREATE, "7")
            .await
            .is_none()
    );
    assert!(api.store().get("a").is_none());
}

#[tokio::test]
async fn stale_lists_answer_the_past_and_reads_the_present() {
    let api = ObjectApi::start(1).await.unwrap();
    api.set_faults(ObjectApiFaults {
        stale_lists: true,
        ..ObjectApiFaults::default()
    });
    send(api.address(), "PUT", "/objects/p%2Fa", &[], "7")
        .await
        .unwrap();
    let list = send(api.address(), "GET", "/objects?prefix=p", &[], "")
        .await
        .unwrap();
    assert_eq!(list.body, r#"{"objects":[],"revision":1}"#);
}

#[tokio::test]
async fn a_compacted_watch_is_gone_and_one_too_many_refused() {
    let api = ObjectApi::start(1).await.unwrap();
    send(api.address(), "PUT", "/objects/a", &[], "7")
        .await
        .unwrap();
    api.store().compact();
    let gone = send(api.address(), "GET", "/watch?prefix=&from=1", &[], "")
        .await
        .unwrap();
    assert_eq!(gone.status.as_u16(), 410);
    api.set_faults(ObjectApiFaults {
        max_watches: Some(0),
        ..ObjectApiFaults::default()
    });
    let refused = send(api.address(), "GET", "/watch?prefix=&from=3", &[], "")
        .await
        .unwrap();
    assert_eq!(refused.status.as_u16(), 429);
}

#[tokio::test]
async fn a_watch_tells_changes_of_its_prefix_in_order_and_ends_when_down() {
    let api = ObjectApi::start(1).await.unwrap();
    let client = Client::builder(TokioExecutor::new()).build_http();
    let uri = format!("http://{}/watch?prefix=p%2F&from=1", api.address());
    let request = Request::get(uri).body(Empty::<&[u8]>::new()).unwrap();
    let mut body = client.request(request).await.unwrap().into_body();
    for (key, value) in [("p/a", "1"), ("q/a", "2"), ("p/b", "3")] {
        let path = format!("/objects/{key}");
        send(api.address(), "PUT", &path, &[], value).await.unwrap();
    }
    let mut lines = String::new();
    while lines.matches('\n').count() < 2 {
        let frame = body.frame().await.unwrap().unwrap();
        lines.push_str(std::str::from_utf8(frame.data_ref().unwrap()).unwrap());
    }
    assert_eq!(
        lines,
        "{\"revision\":2,\"key\":\"p/a\",\"version\":2,\"value\":1}\n\
         {\"revision\":4,\"key\":\"p/b\",\"version\":4,\"value\":3}\n"
    );
    api.set_faults(ObjectApiFaults {
        down: true,
        ..ObjectApiFaults::default()
    });
    assert!(body.frame().await.is_none(), "the watch must end");
}
