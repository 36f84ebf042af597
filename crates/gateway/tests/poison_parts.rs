//! A part of many prompts that crashes each engine which begins to run a request with it.

mod support;

use hyper::StatusCode;
use ryerouter_gateway::catalogue::RequestKind;
use support::crashing_nodes::{Nodes, is_held_back};
use support::gateway_bench::run;
use support::poison_records::PoisonRecords;
use yare::parameterized;

/// Engines that may end in all before the part is held back.
const MAX_CRASHES: usize = 5;
/// Far more requests than that, no two alike.
const REQUESTS: usize = 20;
const FATAL_SECOND: &str = "common,fatal-part";

/// Requests without two alike share one part that crashes engines; others share all but that.
#[parameterized(
    second_part_stream = { FATAL_SECOND, "common,sound", RequestKind::Streaming, 4 },
    first_part_stream = { "fatal-part,group", "common,group", RequestKind::Streaming, 4 },
    only_part_stream = { "fatal-part", "common", RequestKind::Streaming, 4 },
    second_part_safe = { FATAL_SECOND, "common,sound", RequestKind::Safe, 4 },
    second_part_seven_nodes = { FATAL_SECOND, "common,sound", RequestKind::Streaming, 7 },
)]
fn requests_with_a_part_that_crashes_engines_are_held_back(
    fatal: &str,
    sound: &str,
    kind: RequestKind,
    count: usize,
) {
    run(async {
        let nodes = Nodes::start(kind, count, false).await;
        let mut unserved = 0;
        for index in 0..REQUESTS {
            nodes.call_with_parts(index % count, fatal).await;
            let answer = nodes.call_with_parts((index + 1) % count, sound).await;
            unserved += usize::from(answer.status != StatusCode::OK);
        }
        let crashes = nodes.pool.ended();
        assert!(crashes <= MAX_CRASHES, "{crashes} engines crashed");
        assert_eq!(unserved, 0, "sound requests");
        for index in 0..count {
            let answer = nodes.call_with_parts(index, fatal).await;
            assert!(is_held_back(&answer), "{answer:?}");
        }
    });
}

#[test]
fn two_parts_that_crash_engines_are_both_held_back() {
    run(async {
        let nodes = Nodes::start(RequestKind::Streaming, 4, false).await;
        for index in 0..REQUESTS {
            nodes.call_with_parts(index % 4, FATAL_SECOND).await;
            nodes
                .call_with_parts((index + 1) % 4, "fatal-part,other")
                .await;
        }
        let crashes = nodes.pool.ended();
        assert!(crashes <= 2 * MAX_CRASHES, "{crashes} engines crashed");
    });
}

/// What is held back must outlive all nodes.
#[test]
fn part_stays_held_back_when_all_nodes_are_killed() {
    run(async {
        let mut nodes = Nodes::start(RequestKind::Streaming, 4, false).await;
        for index in 0..REQUESTS {
            nodes.call_with_parts(index % 4, FATAL_SECOND).await;
        }
        let crashes = nodes.pool.ended();
        // Stale readings of the store have caught up.
        PoisonRecords::of_test().refresh_stale();
        nodes.kill_all().await;
        for index in 0..8 {
            nodes.call_with_parts(index % 4, FATAL_SECOND).await;
        }
        let crashes_later = nodes.pool.ended() - crashes;
        assert!(
            crashes <= MAX_CRASHES && crashes_later == 0,
            "{crashes} and {crashes_later}"
        );
    });
}

/// A sound request that is asked again and again beside them must not be taken for the cause.
#[test]
fn sound_request_that_runs_beside_is_not_held_back() {
    run(async {
        let nodes = Nodes::start(RequestKind::Streaming, 4, false).await;
        let mut unserved = 0;
        for index in 0..REQUESTS {
            let (bad, popular) = tokio::join!(
                nodes.call_with_parts(index % 4, FATAL_SECOND),
                nodes.call_at((index + 1) % 4, "popular"),
            );
            drop(bad);
            let is_late = index > MAX_CRASHES + 3;
            unserved += usize::from(is_late && popular.status != StatusCode::OK);
        }
        assert_eq!(unserved, 0);
    });
}
