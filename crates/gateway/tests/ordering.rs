//! Giving orders under the lease, on a virtual clock: a lease store and engines that answer late.

mod support;

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use ryerouter_core::identity::{BackEndName, FencingNumber, Incarnation};
use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::rollout::{
    EngineOrders, EngineReport, OrderOutcome, PublicationTime, WeightsOrder, run_rollouts,
};
use ryerouter_gateway::source::ItemKind;
use support::gateway_bench::{configure, gateway, list_engines};
use support::one_lease::{CALL_LIMIT, OneLease, SETTINGS};
use support::records::{FAILURES_OF_TROUBLE, engine, table};
use support::test_dialect::MODEL;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;
use yare::parameterized;

/// Engines that take every order and never finish.
#[derive(Default)]
struct TakenOrders {
    orders: RefCell<Vec<(WeightsOrder, FencingNumber)>>,
    /// What they say to an order, when they don't reject it, and how long that takes.
    answer: Cell<Option<(OrderOutcome, Duration)>>,
}

impl EngineOrders for TakenOrders {
    fn order(
        &self,
        _address: SocketAddr,
        order: WeightsOrder,
        fence: FencingNumber,
    ) -> LocalBoxFuture<'_, OrderOutcome> {
        self.orders.borrow_mut().push((order, fence));
        let answer = self.answer.get();
        async move {
            let Some((outcome, after)) = answer else {
                return OrderOutcome::Rejected;
            };
            sleep(after).await;
            outcome
        }
        .boxed_local()
    }

    fn report(
        &self,
        _engine: BackEndName,
        _address: SocketAddr,
    ) -> LocalBoxFuture<'_, Option<EngineReport>> {
        async { Some(EngineReport::default()) }.boxed_local()
    }
}

struct Ordering {
    gateway: Rc<Gateway>,
    lease: Rc<OneLease>,
    engines: Rc<TakenOrders>,
}

impl Ordering {
    /// A ready node whose one engine is long behind.
    fn start(delay: Duration) -> Self {
        let ordering = Self::start_idle(delay);
        let named = ordering.gateway.clock().now();
        let named = named.before(Duration::from_secs(6));
        let mut state = ordering.gateway.state_mut();
        state.deadlines.note(MODEL, 2, PublicationTime::Seen(named));
        drop(state);
        ordering
    }

    /// A ready node whose one engine has the newest weights.
    fn start_idle(delay: Duration) -> Self {
        let gateway = gateway("node-1");
        configure(&gateway, table(1, Vec::new()));
        let entry = engine("e1", "127.0.0.1:1".parse().unwrap(), 1);
        list_engines(&gateway, vec![entry]);
        let lease = Rc::new(OneLease::default());
        lease.delay.set(delay);
        let engines = Rc::new(TakenOrders::default());
        let (store, orders) = (lease.clone(), engines.clone());
        spawn_local(run_rollouts(Rc::clone(&gateway), store, orders, SETTINGS));
        Self {
            gateway,
            lease,
            engines,
        }
    }

    fn orders(&self) -> usize {
        self.engines.orders.borrow().len()
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("runtime");
    LocalSet::new().block_on(&runtime, test);
}

#[test]
fn orders_are_given_under_the_lease_with_its_number() {
    run(async {
        let ordering = Ordering::start(Duration::from_millis(5));
        sleep(Duration::from_secs(2)).await;
        let orders = ordering.engines.orders.borrow();
        assert!(!orders.is_empty());
        assert!(orders.iter().all(|(_, fence)| *fence == FencingNumber(1)));
        assert!(ordering.gateway.state().gives_orders);
    });
}

#[test]
fn nothing_is_ordered_once_the_lease_can_not_be_renewed() {
    run(async {
        let ordering = Ordering::start(Duration::from_millis(5));
        sleep(Duration::from_secs(2)).await;
        ordering.lease.is_silent.set(true);
        sleep(SETTINGS.duration).await;
        let given = ordering.orders();
        sleep(Duration::from_secs(10)).await;
        assert_eq!(ordering.orders(), given);
        assert!(!ordering.gateway.state().gives_orders);
    });
}

#[test]
fn node_that_leaves_gives_the_lease_up_and_orders_nothing_more() {
    run(async {
        let ordering = Ordering::start(Duration::from_millis(5));
        sleep(Duration::from_secs(2)).await;
        assert!(ordering.lease.has_holder());
        ordering.gateway.leave();
        sleep(Duration::from_millis(100)).await;
        assert!(!ordering.lease.has_holder());
        let given = ordering.orders();
        sleep(Duration::from_secs(5)).await;
        assert_eq!(ordering.orders(), given);
    });
}

#[test]
fn lease_that_is_about_to_be_won_is_not_given_up() {
    run(async {
        let ordering = Ordering::start(Duration::from_millis(120));
        // While the answers are on their way, another call to the store fails.
        sleep(Duration::from_millis(180)).await;
        ordering
            .gateway
            .note_source_disruption(ItemKind::Weights, 1);
        sleep(Duration::from_millis(400)).await;
        assert!(ordering.lease.has_holder());
        assert!(ordering.gateway.state().gives_orders);
    });
}

/// Calls to the source fail every second, though the lease can be renewed between.
#[test]
fn troubles_of_the_source_one_after_another_do_not_put_off_an_order_that_is_due() {
    run(async {
        let ordering = Ordering::start(Duration::from_millis(5));
        for _ in 0..4 {
            let gateway = &ordering.gateway;
            gateway.note_source_disruption(ItemKind::Weights, FAILURES_OF_TROUBLE);
            sleep(Duration::from_millis(500)).await;
            let now = gateway.clock().now();
            gateway.apply_changes(ItemKind::Weights, Vec::new(), now);
            assert!(gateway.state().deadlines.allows(MODEL, 1, now));
            sleep(Duration::from_millis(500)).await;
        }
        assert!(ordering.orders() > 0);
    });
}

#[test]
fn node_that_can_not_renew_the_lease_leaves_the_orders_to_others() {
    run(async {
        let ordering = Ordering::start(Duration::from_millis(5));
        let other = gateway("node-2");
        configure(&other, table(1, Vec::new()));
        list_engines(&other, Vec::new());
        let tell = || other.receive_peer_message(ordering.gateway.peer_message(true));
        sleep(Duration::from_secs(2)).await;
        tell();
        assert!(!other.should_give_orders());
        // Nothing but the lease tells that the store is out of reach.
        ordering.lease.is_out_of_reach.set(true);
        sleep(SETTINGS.renew_interval + CALL_LIMIT + Duration::from_millis(100)).await;
        tell();
        assert!(other.should_give_orders());
        sleep(Duration::from_secs(10)).await;
        tell();
        assert!(other.should_give_orders());
        ordering.lease.is_out_of_reach.set(false);
        sleep(Duration::from_secs(2)).await;
        tell();
        assert!(!other.should_give_orders());
    });
}

#[test]
fn release_that_has_not_ended_needs_the_lease() {
    run(async {
        let ordering = Ordering::start_idle(Duration::from_millis(5));
        sleep(Duration::from_secs(2)).await;
        assert!(!ordering.lease.has_holder());
        ordering.gateway.note_release_work(true);
        sleep(Duration::from_secs(2)).await;
        assert!(ordering.lease.has_holder());
        assert_eq!(ordering.gateway.valid_order_fence(), Some(1));
        assert_eq!(ordering.orders(), 0);
        ordering.lease.is_silent.set(true);
        sleep(SETTINGS.duration).await;
        assert_eq!(ordering.gateway.valid_order_fence(), None);
    });
}

#[parameterized(
    begins_again = { 2_000, Some(1) },
    goes_on = { 1_000, Some(2) },
)]
fn answer_to_an_order_counts_in_the_life_that_it_was_given_to(then: u64, expected: Option<u64>) {
    run(async {
        let ordering = Ordering::start(Duration::from_millis(5));
        let answered_after = Duration::from_millis(500);
        let answer = (OrderOutcome::AlreadyDone, answered_after);
        ordering.engines.answer.set(Some(answer));
        let list = |life| {
            let mut entry = engine("e1", "127.0.0.1:1".parse().unwrap(), 1);
            entry.incarnation = Some(Incarnation(life));
            list_engines(&ordering.gateway, vec![entry]);
        };
        list(1_000);
        while ordering.orders() == 0 {
            sleep(Duration::from_millis(10)).await;
        }
        sleep(answered_after / 2).await;
        list(then);
        sleep(answered_after / 2 + Duration::from_millis(20)).await;
        let state = ordering.gateway.state();
        let known = state.engines.get(&BackEndName::new("e1")).unwrap();
        assert_eq!(known.weights_of(MODEL), expected);
    });
}
