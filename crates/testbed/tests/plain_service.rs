//! The plain service stand-in counts executions by key and echoes the attempt.

mod support;

use ryerouter_testbed::standins::service::{PlainService, PlainServiceFaults};
use support::send;

#[tokio::test]
async fn executions_are_counted_by_key_and_the_attempt_is_echoed() {
    let service = PlainService::start(1).await.unwrap();
    let headers = [("x-attempt-id", "2a"), ("idempotency-key", "alert-1")];
    for _ in 0..2 {
        let answer = send(service.address(), "POST", "/alerts", &headers, "x")
            .await
            .unwrap();
        assert_eq!(answer.status.as_u16(), 200);
        assert_eq!(answer.headers["x-attempt-id"], "2a");
        assert_eq!(answer.body, PlainService::expected_answer("/alerts", b"x"));
    }
    assert_eq!(service.executions()["alert-1"], 2);
}

#[tokio::test]
async fn a_lost_answer_was_executed_and_a_draining_refusal_was_not() {
    let service = PlainService::start(1).await.unwrap();
    service.set_faults(PlainServiceFaults {
        lost_answers_permille: 1_000,
        ..PlainServiceFaults::default()
    });
    let headers = [("idempotency-key", "k")];
    assert!(
        send(service.address(), "POST", "/a", &headers, "")
            .await
            .is_none()
    );
    service.set_faults(PlainServiceFaults {
        draining: true,
        ..PlainServiceFaults::default()
    });
    let refused = send(service.address(), "POST", "/a", &headers, "")
        .await
        .unwrap();
    assert_eq!(refused.headers["x-run-state"], "not-run");
    assert_eq!(service.executions()["k"], 1);
}

#[tokio::test]
async fn a_restarted_service_listens_on_the_same_port() {
    let mut service = PlainService::start(1).await.unwrap();
    let address = service.address();
    service.crash().await;
    assert!(send(address, "GET", "/a", &[], "").await.is_none());
    service.restart().await.unwrap();
    assert!(send(address, "GET", "/a", &[], "").await.is_some());
}
