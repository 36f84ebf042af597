//! Engines that are others than expected: a request runs only where the configuration sends it.

mod support;

use hyper::StatusCode;
use ryerouter_core::identity::PoolName;
use ryerouter_gateway::catalogue::RequestKind;
use support::gateway_bench::{GatewayBench, list_engines, run};
use support::records::{engine, route, table};
use support::scripted_engine::{ScriptedEngine, Step};
use support::test_dialect::ID;
use yare::parameterized;

const ONE: &[(&str, &str)] = &[(ID, "r1")];
/// Each goes to either of two engines first.
const MOST_REQUESTS: usize = 40;
const OTHER_PROCESS: Step = Step::Answer(421, "");

/// The address of an engine that is gone may be that of another one; what it turns away has not run.
#[parameterized(
    may_run_again = { RequestKind::Safe },
    must_not_run_twice = { RequestKind::Unsafe },
)]
fn request_that_another_process_turns_away_runs_elsewhere(kind: RequestKind) {
    run(async {
        let (first, first_address) = ScriptedEngine::start([OTHER_PROCESS]).await;
        let (second, second_address) = ScriptedEngine::start([OTHER_PROCESS]).await;
        let entries = vec![
            engine("e1", first_address, 1),
            engine("e2", second_address, 1),
        ];
        let bench = GatewayBench::start(Some(table(1, vec![route(kind)])), entries).await;
        let arrivals = || first.arrivals.borrow().len() + second.arrivals.borrow().len();
        let refused = bench.call("GET", ONE, "").await;
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(arrivals(), 2);
        // Neither is used for a while; then one of them is right again.
        first.push(Step::Answer(200, "ok"));
        second.push(Step::Answer(200, "ok"));
        let again = bench.call("GET", &[(ID, "r2")], "").await;
        assert_eq!(again.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(arrivals(), 2);
    });
}

#[test]
fn request_that_one_engine_turns_away_is_answered_by_the_other() {
    run(async {
        let (first, first_address) = ScriptedEngine::start([OTHER_PROCESS]).await;
        let (_second, second_address) = ScriptedEngine::start([]).await;
        let entries = vec![
            engine("e1", first_address, 1),
            engine("e2", second_address, 1),
        ];
        let routes = vec![route(RequestKind::Unsafe)];
        let bench = GatewayBench::start(Some(table(1, routes)), entries).await;
        // Which engine is asked first hangs on the request's name.
        for number in 0..MOST_REQUESTS {
            let name = format!("r{number}");
            let answer = bench.call("POST", &[(ID, name.as_str())], "x").await;
            assert_eq!(answer.status, StatusCode::OK);
            if !first.arrivals.borrow().is_empty() {
                return;
            }
        }
        panic!("the first engine was never asked");
    });
}

#[parameterized(
    of_another_pool = { "other" },
    of_a_pool_that_nobody_knows = { "nowhere" },
)]
fn engine_whose_entry_comes_to_name_another_pool_gets_nothing_more(pool: &str) {
    run(async {
        let (scripted, address) = ScriptedEngine::start([]).await;
        let entry = engine("e1", address, 1);
        let routes = vec![route(RequestKind::Safe)];
        let bench = GatewayBench::start(Some(table(1, routes)), vec![entry.clone()]).await;
        assert_eq!(bench.call("GET", ONE, "").await.status, StatusCode::OK);
        let mut moved = entry;
        moved.pool = PoolName::new(pool);
        list_engines(&bench.gateway, vec![moved]);
        let refused = bench.call("GET", &[(ID, "r2")], "").await;
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(scripted.arrivals.borrow().len(), 1);
    });
}
