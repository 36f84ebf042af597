//! A machine may be suspended for seconds. The steady clock stands still meanwhile, so that a node took what it had
//! believed before for ten seconds younger than it was: a key that had been taken away, a lease that had gone on to
//! another node, a list whose engines had left. The clock of a gateway counts that time.

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::StatusCode;
use ryerouter_core::Timestamp;
use ryerouter_gateway::catalogue::RequestKind;
use ryerouter_gateway::clock::{Clock, Suspensions};
use ryerouter_gateway::gateway::Gateway;
use slog::{Logger, o};
use support::fleet::node;
use support::gateway_bench::{GatewayBench, run, run_paused, settings};
use support::records::{KEY_OF_TENANT, engine, route, table};
use support::scripted_engine::{ScriptedEngine, Step};
use support::test_dialect::{ID, KEY, TestDialect};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

const LONG: Duration = Duration::from_secs(10);

thread_local! {
    static SUSPENDED: Cell<Duration> = const { Cell::new(Duration::ZERO) };
}

/// The machine is suspended for a time.
fn suspend(time: Duration) {
    SUSPENDED.set(SUSPENDED.get() + time);
}

fn clock() -> Clock {
    Clock::start_with(Suspensions::read_by(|| SUSPENDED.get()))
}

fn millis_since_start(clock: Clock) -> u128 {
    clock.now().since(clock.start_time()).as_millis()
}

#[test]
fn clock_counts_the_time_of_a_suspension() {
    run_paused(async {
        suspend(LONG);
        // What was before the start does not count.
        let clock = clock();
        assert_eq!(millis_since_start(clock), 0);
        sleep(Duration::from_millis(100)).await;
        suspend(LONG);
        assert_eq!(millis_since_start(clock), 10_100);
        sleep(Duration::from_millis(100)).await;
        assert_eq!(millis_since_start(clock), 10_200);
    });
}

#[test]
fn timer_that_is_set_afterwards_is_on_time() {
    run_paused(async {
        let clock = clock();
        suspend(LONG);
        let due = clock.now().after(Duration::from_millis(300));
        assert_eq!(
            clock.instant(due),
            Instant::now() + Duration::from_millis(300)
        );
        let past = clock.now().before(Duration::from_secs(3));
        assert!(clock.instant(past) <= Instant::now());
    });
}

/// Two readings of one moment a little apart are no suspension.
#[test]
fn what_a_reading_takes_is_no_suspension() {
    run_paused(async {
        let clock = clock();
        suspend(Duration::from_millis(20));
        assert_eq!(millis_since_start(clock), 0);
    });
}

#[test]
fn clock_of_the_machine_runs_as_the_steady_one_does() {
    run_paused(async {
        let clock = Clock::start();
        sleep(LONG).await;
        assert_eq!(millis_since_start(clock), LONG.as_millis());
    });
}

fn gateway_that_suspends(max_unconfirmed_age: Duration) -> Rc<Gateway> {
    let mut own = settings("node-1");
    own.max_unconfirmed_age = Some(max_unconfirmed_age);
    let log = Logger::root(slog::Discard, o!());
    Gateway::with_clock(own, Rc::new(TestDialect), log, clock())
}

/// Keys may have been taken away meanwhile.
#[test]
fn key_that_was_proven_before_a_suspension_is_not_trusted_after_it() {
    run(async {
        let (engine_run, address) = ScriptedEngine::start([]).await;
        let gateway = gateway_that_suspends(Duration::from_secs(5));
        let mut route = route(RequestKind::Safe);
        route.is_public = false;
        let entries = vec![engine("e1", address, 1)];
        let bench = GatewayBench::serve(gateway, Some(table(1, vec![route])), entries).await;
        let headers = [(ID, "r1"), (KEY, KEY_OF_TENANT)];
        let proven = bench.call("POST", &headers, "x").await;
        assert!(proven.status.is_success(), "{proven:?}");
        suspend(LONG);
        let unproven = bench.call("POST", &headers, "x").await;
        assert_eq!(unproven.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(engine_run.arrivals.borrow().len(), 1);
    });
}

/// Another node may hold it by now, and give orders with it.
#[test]
fn lease_from_before_a_suspension_gives_no_fence_after_it() {
    run_paused(async {
        let gateway = gateway_that_suspends(LONG);
        let until: Timestamp = gateway.clock().now().after(Duration::from_secs(3));
        gateway.state_mut().order_fence = Some(7);
        gateway.state_mut().order_lease_until = Some(until);
        assert_eq!(gateway.valid_order_fence(), Some(7));
        suspend(LONG);
        assert_eq!(gateway.valid_order_fence(), None);
    });
}

/// What others told before it is as old as it is to them.
#[test]
fn nodes_that_were_heard_before_a_suspension_are_silent_after_it() {
    run_paused(async {
        let gateway = gateway_that_suspends(LONG);
        let other = node(7);
        gateway.receive_peer_message(other.peer_message(false));
        let name = &other.settings().identity.name;
        let is_alive = || gateway.state().peers.is_alive(name, gateway.clock().now());
        assert!(is_alive());
        suspend(LONG);
        assert!(!is_alive());
    });
}

/// A gateway before one engine, which takes this step with the first request.
async fn bench_with(kind: RequestKind, step: Step) -> (GatewayBench, Rc<ScriptedEngine>) {
    let (engine_run, address) = ScriptedEngine::start([step]).await;
    let gateway = gateway_that_suspends(LONG);
    let entries = vec![engine("e1", address, 1)];
    let bench = GatewayBench::serve(gateway, Some(table(1, vec![route(kind)])), entries).await;
    (bench, engine_run)
}

/// The route gives a request five seconds. The timers of the runtime stand still with the steady clock.
const SOON: Duration = Duration::from_secs(2);

#[test]
fn request_whose_limit_passes_during_a_suspension_ends_soon_after_it() {
    run(async {
        let (bench, engine_run) = bench_with(RequestKind::Safe, Step::Silence).await;
        let began = Instant::now();
        let watched = spawn_local(async move {
            engine_run.until_arrived(1).await;
            suspend(LONG);
            engine_run.until_abandoned().await;
        });
        let answer = bench.call("POST", &[(ID, "r1")], "x").await;
        assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
        watched.await.expect("task");
        assert!(began.elapsed() < SOON, "{:?}", began.elapsed());
    });
}

#[test]
fn stream_whose_limit_passes_during_a_suspension_ends_soon_after_it() {
    run(async {
        let step = Step::StallingEvents(&["id: 1\ndata: a\n\n"]);
        let (bench, engine_run) = bench_with(RequestKind::Streaming, step).await;
        let began = Instant::now();
        let response = bench.begin("POST", &[(ID, "r1")], "x").await;
        suspend(LONG);
        assert!(response.into_body().collect().await.is_err());
        engine_run.until_abandoned().await;
        assert!(began.elapsed() < SOON, "{:?}", began.elapsed());
    });
}
