//! The oracle reports each broken promise and nothing else.

use ryerouter_testbed::oracle::Observation::{self, *};
use ryerouter_testbed::oracle::{Oracle, OracleLimits, Promise, ReportedRunState};
use yare::parameterized;

const SECOND: u64 = 1_000_000;

fn submitted(submission: u64, key: Option<&str>) -> Observation {
    Submitted {
        submission,
        at_most_once_key: key.map(str::to_owned),
        tenant: "lot".into(),
    }
}

fn started(submission: u64) -> Observation {
    ExecutionStarted {
        submission,
        back_end: "engine".into(),
        incarnation: 1,
    }
}

fn refused(submission: u64, run_state: ReportedRunState, by_planned_stop: bool) -> Observation {
    Refused {
        submission,
        run_state,
        by_planned_stop,
    }
}

fn relied(incarnation: u64, entry_tenant: &str, entry_weights: u64) -> Observation {
    CacheRelied {
        submission: 1,
        back_end: "engine".into(),
        actual_incarnation: 1,
        relied_incarnation: Some(incarnation),
        tenant: "lot".into(),
        entry_tenant: entry_tenant.into(),
        entry_weights,
        current_weights: 7,
    }
}

fn chunk(index: u64, answers: u64) -> Observation {
    ChunkDelivered {
        submission: 1,
        index,
        answers,
    }
}

fn whole() -> Observation {
    Completed {
        submission: 1,
        expected_chunks: 2,
    }
}

fn leaving() -> Observation {
    LeavingStarted {
        back_end: "engine".into(),
    }
}

fn work() -> Observation {
    WorkOffered {
        node: "node".into(),
        back_end: "engine".into(),
    }
}

fn in_force(version: u64) -> Observation {
    VersionInForce {
        node: "node".into(),
        version,
        digest: version,
    }
}

fn ready() -> Observation {
    NodeReady {
        node: "node".into(),
    }
}

fn order(fencing_number: u64) -> Observation {
    OrderObeyed {
        back_end: "engine".into(),
        incarnation: 1,
        fencing_number,
    }
}

fn limit() -> Observation {
    LimitSet {
        tenant: "lot".into(),
        per_second: Some(5),
    }
}

fn spent(units: u64) -> Observation {
    LimitSpent {
        tenant: "lot".into(),
        units,
    }
}

fn broken(timed: &[(u64, Observation)]) -> Vec<Promise> {
    let mut oracle = Oracle::new(OracleLimits::default());
    for (at, observation) in timed {
        oracle.observe(*at, observation);
    }
    oracle.check_overdue(timed.last().map_or(0, |(at, _)| *at));
    oracle
        .violations()
        .iter()
        .map(|violation| violation.promise)
        .collect()
}

#[parameterized(
    plain_stream = { vec![(0, submitted(1, None)), (1, started(1)), (2, chunk(0, 1)), (3, chunk(1, 1)), (4, whole())] },
    retry_of_a_repeatable_request = { vec![(0, submitted(1, None)), (1, started(1)), (2, started(1))] },
    key_refused_then_run = { vec![
        (0, submitted(1, Some("k"))), (1, refused(1, ReportedRunState::NotRun, false)),
        (2, submitted(2, Some("k"))), (3, started(2)),
    ] },
    cache_of_its_own = { vec![(0, relied(1, "lot", 7))] },
    drain_in_time = { vec![(0, leaving()), (2 * SECOND, work())] },
    returned_after_drain = { vec![(0, leaving()), (SECOND, LeavingEnded { back_end: "engine".into() }), (9 * SECOND, work())] },
    configuration_in_time = { vec![(0, ready()), (1, ChangeAccepted { version: 2 }), (2, in_force(2)), (40 * SECOND, work())] },
    cut_off_node_may_lag = { vec![
        (0, ready()), (1, NodeUnreachable { node: "node".into() }), (2, ChangeAccepted { version: 2 }),
        (40 * SECOND, NodeReachable { node: "node".into() }), (50 * SECOND, work()),
    ] },
    orders_rise = { vec![(0, order(3)), (1, order(3)), (2, order(4))] },
    within_limit = { vec![(0, limit()), (30 * SECOND, spent(120)), (52 * SECOND, spent(120))] },
    stop_refuses_new_work = { vec![(0, refused(1, ReportedRunState::NotRun, true))] },
)]
fn keeps_quiet(timed: Vec<(u64, Observation)>) {
    assert_eq!(broken(&timed), vec![]);
}

#[parameterized(
    dead_engine = { vec![(0, relied(2, "lot", 7))], Promise::CacheIsolation },
    other_tenant = { vec![(0, relied(1, "desk", 7))], Promise::CacheIsolation },
    older_weights = { vec![(0, relied(1, "lot", 6))], Promise::CacheIsolation },
    gap = { vec![(0, chunk(0, 1)), (1, chunk(2, 1))], Promise::StreamIntegrity },
    doubled_chunk = { vec![(0, chunk(0, 1)), (1, chunk(0, 1))], Promise::StreamIntegrity },
    short_answer = { vec![(0, chunk(0, 1)), (1, whole())], Promise::StreamIntegrity },
    crossed_answer = { vec![(0, chunk(0, 2))], Promise::ResponseCorrelation },
    two_endings = { vec![(0, refused(1, ReportedRunState::Ran, false)), (1, refused(1, ReportedRunState::Ran, false))], Promise::ResponseCorrelation },
    slow_restart = { vec![(0, NodeStarted { node: "node".into() }), (2 * SECOND, ready())], Promise::RestartReadiness },
    no_restart = { vec![(0, NodeStarted { node: "node".into() }), (2 * SECOND, work())], Promise::RestartReadiness },
    ran_before_refusal = { vec![(0, started(1)), (1, refused(1, ReportedRunState::NotRun, false))], Promise::RefusalTruth },
    ran_after_refusal = { vec![(0, refused(1, ReportedRunState::NotRun, false)), (1, started(1))], Promise::RefusalTruth },
    key_ran_elsewhere = { vec![
        (0, submitted(1, Some("k"))), (1, started(1)), (2, submitted(2, Some("k"))),
        (3, refused(2, ReportedRunState::NotRun, false)),
    ], Promise::RefusalTruth },
    ran_twice = { vec![
        (0, submitted(1, Some("k"))), (1, submitted(2, Some("k"))), (2, started(1)), (3, started(2)),
    ], Promise::AtMostOnce },
    late_work = { vec![(0, leaving()), (4 * SECOND, work())], Promise::Drain },
    cut_by_stop = { vec![(0, started(1)), (1, refused(1, ReportedRunState::Ran, true))], Promise::GracefulStop },
    reverted = { vec![(0, in_force(3)), (1, in_force(2))], Promise::ConfigurationMonotonicity },
    two_meanings = { vec![(0, in_force(3)), (1, VersionInForce { node: "other".into(), version: 3, digest: 9 })], Promise::ConfigurationMonotonicity },
    overdue = { vec![(0, ready()), (1, ChangeAccepted { version: 2 }), (40 * SECOND, work())], Promise::ConfigurationMonotonicity },
    over_limit = { vec![(0, limit()), (30 * SECOND, spent(120)), (31 * SECOND, spent(1))], Promise::TenantLimits },
    older_order = { vec![(0, order(4)), (1, order(3))], Promise::Fencing },
)]
fn reports(timed: Vec<(u64, Observation)>, promise: Promise) {
    assert_eq!(broken(&timed), vec![promise]);
}
