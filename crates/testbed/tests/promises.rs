//! The demonstration sees promises broken that were broken on purpose.

mod support;

use std::time::Duration;

use bytes::Bytes;
use ryerouter_core::Timestamp;
use ryerouter_core::dispatch::{Priority, RunState};
use ryerouter_testbed::cluster::StandInSet;
use ryerouter_testbed::demo::chaos::{ChaosLog, Outage, OutageKind};
use ryerouter_testbed::demo::{Call, CallEnd, CallRecord, CallWork, check_promises};
use ryerouter_testbed::scenario::{BuiltIn, Scenario};
use support::send;
use tokio::time::Instant;
use yare::parameterized;

const KEY: &str = "alert-1";

fn record(end: CallEnd) -> CallRecord {
    let now = Instant::now();
    CallRecord {
        call: Call {
            id: "request-1".to_owned(),
            tenant: "tenant".to_owned(),
            node: 0,
            sent_at: Timestamp::ZERO,
            path: "/services/alerts/a".to_owned(),
            body: Bytes::new(),
            priority: Priority::Interactive,
            deadline: None,
            at_most_once_key: Some(KEY.to_owned()),
            is_duplicate: false,
            work: CallWork::Service {
                target: "/a".to_owned(),
                counted_as: KEY.to_owned(),
            },
        },
        submission: 1,
        end,
        sent: now,
        ended: now + Duration::from_millis(5),
        first_token: None,
    }
}

fn right() -> CallEnd {
    CallEnd::Right {
        weights_version: None,
    }
}

fn refused(run_state: RunState) -> CallEnd {
    CallEnd::Refused {
        run_state,
        reason: "some".to_owned(),
        retry_after: None,
    }
}

fn cut() -> CallEnd {
    CallEnd::Broken {
        reason: "cut".to_owned(),
    }
}

fn wrong() -> CallEnd {
    CallEnd::Wrong {
        reason: "other text".to_owned(),
    }
}

/// Broken promises after the service ran the call so often and the submissions ended so.
fn broken(executions: usize, ends: Vec<CallEnd>, chaos: ChaosLog) -> Vec<String> {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let mut scenario = Scenario::built_in(BuiltIn::Callaghan).unwrap();
        scenario.model_pool.engines = 1;
        let stand_ins = StandInSet::start(&scenario, 1).await.unwrap();
        let service = stand_ins.services[0].back_end.address();
        for _ in 0..executions {
            let headers = [("idempotency-key", KEY)];
            let answer = send(service, "POST", "/a", &headers, "").await.unwrap();
            let (headers, body) = (&answer.headers, &answer.body);
            assert!(answer.status.is_success(), "{headers:?} {body}");
        }
        let records: Vec<CallRecord> = ends.into_iter().map(record).collect();
        check_promises(&records, &stand_ins, &chaos)
    })
}

#[parameterized(
    right_once = { 1, vec![right()], 0 },
    wrong_answer = { 1, vec![wrong()], 1 },
    ran_twice = { 2, vec![right(), right()], 1 },
    true_not_run = { 0, vec![refused(RunState::NotRun)], 0 },
    false_not_run = { 1, vec![refused(RunState::NotRun)], 1 },
    not_run_then_right = { 1, vec![refused(RunState::NotRun), right()], 0 },
    not_run_twice_but_ran = { 1, vec![refused(RunState::NotRun), CallEnd::NotConnected], 2 },
    unknown_that_ran = { 1, vec![refused(RunState::Unknown)], 0 },
    cut_by_a_living_node = { 1, vec![cut()], 1 },
)]
fn a_broken_promise_shows(executions: usize, ends: Vec<CallEnd>, expected: usize) {
    let found = broken(executions, ends, ChaosLog::default());
    assert_eq!(found.len(), expected, "{found:?}");
}

#[parameterized(killed = { OutageKind::Kill, 0 }, stopped_as_planned = { OutageKind::Stop, 1 })]
fn only_a_killed_node_may_cut_an_answer(kind: OutageKind, expected: usize) {
    let from = Instant::now();
    let outage = Outage {
        router: 0,
        kind,
        from,
        until: from + Duration::from_secs(60),
        start_time: Duration::ZERO,
    };
    let chaos = ChaosLog {
        outages: vec![outage],
        ..ChaosLog::default()
    };
    let found = broken(1, vec![cut()], chaos);
    assert_eq!(found.len(), expected, "{found:?}");
}
