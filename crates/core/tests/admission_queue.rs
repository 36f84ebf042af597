//! The queue of a pool and the windows of engines.

use std::collections::BTreeMap;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::admission::{EngineWindow, QueueLimits, QueuedRequest, RequestQueue};
use ryerouter_core::dispatch::Priority;
use ryerouter_core::identity::RequestId;

const START: Timestamp = Timestamp::from_millis(1_000);

fn queued(name: &str, tenant: &str, weight: u32, priority: Priority) -> QueuedRequest {
    QueuedRequest {
        request: RequestId::new(name),
        tenant: tenant.into(),
        weight,
        priority,
        cost: 100,
        queued_at: START,
    }
}

fn take_all(queue: &mut RequestQueue, now: Timestamp) -> Vec<String> {
    std::iter::from_fn(|| queue.take_first(now))
        .map(|request| request.request.as_str().to_owned())
        .collect()
}

#[test]
fn interactive_work_goes_before_batch_work() {
    let mut queue = RequestQueue::new(QueueLimits::default());
    queue.push(queued("b", "a", 1, Priority::Batch));
    queue.push(queued("i", "a", 1, Priority::Interactive));
    assert_eq!(take_all(&mut queue, START), ["i", "b"]);
}

#[test]
fn batch_work_that_waited_long_is_not_starved_by_interactive_work() {
    let limits = QueueLimits::default();
    let mut queue = RequestQueue::new(limits);
    queue.push(queued("b", "a", 1, Priority::Batch));
    let late = START.after(limits.batch_promotion);
    let mut turns = 0;
    loop {
        queue.push(queued("i", "a", 1, Priority::Interactive));
        turns += 1;
        if queue.take_first(late).unwrap().priority == Priority::Batch {
            break;
        }
    }
    assert!(turns <= limits.turns_per_promotion);
}

#[test]
fn tenants_get_turns_by_their_weights() {
    let mut queue = RequestQueue::new(QueueLimits::default());
    for index in 0..300 {
        queue.push(queued(
            &format!("h{index}"),
            "heavy",
            3,
            Priority::Interactive,
        ));
        queue.push(queued(
            &format!("l{index}"),
            "light",
            1,
            Priority::Interactive,
        ));
    }
    let mut turns = BTreeMap::new();
    for _ in 0..200 {
        let tenant = queue.take_first(START).unwrap().tenant;
        *turns.entry(tenant).or_insert(0_u32) += 1;
    }
    assert!((148..=152).contains(&turns[&"heavy".into()]), "{turns:?}");
}

#[test]
fn a_tenant_with_one_request_at_a_time_pays_for_its_turns() {
    let mut queue = RequestQueue::new(QueueLimits::default());
    for index in 0..100 {
        queue.push(queued(
            &format!("w{index}"),
            "waiting",
            1,
            Priority::Interactive,
        ));
    }
    let mut turns_of_single = 0;
    for _ in 0..50 {
        queue.push(queued("s", "single", 1, Priority::Interactive));
        let taken = queue.take_first(START).unwrap();
        if taken.tenant == "single".into() {
            turns_of_single += 1;
        } else {
            queue.remove(&"single".into(), &RequestId::new("s"));
        }
    }
    assert!((24..=26).contains(&turns_of_single), "{turns_of_single}");
}

#[test]
fn a_full_queue_gives_up_the_longest_waiting_list_not_the_newcomer() {
    let limits = QueueLimits {
        capacity: 10,
        ..QueueLimits::default()
    };
    let mut queue = RequestQueue::new(limits);
    for index in 0..10 {
        queue.push(queued(
            &format!("g{index}"),
            "greedy",
            1,
            Priority::Interactive,
        ));
    }
    let given_up = queue.push(queued("m", "modest", 1, Priority::Interactive));
    assert_eq!(given_up.unwrap().request, RequestId::new("g9"));
    assert_eq!(queue.len(), 10);
}

#[test]
fn batch_work_never_fills_the_whole_queue() {
    let limits = QueueLimits {
        capacity: 10,
        batch_capacity: 7,
        ..QueueLimits::default()
    };
    let mut queue = RequestQueue::new(limits);
    let given_up = (0..20)
        .filter_map(|index| queue.push(queued(&format!("b{index}"), "a", 1, Priority::Batch)))
        .count();
    assert_eq!((given_up, queue.len()), (13, 7));
    assert_eq!(queue.push(queued("i", "a", 1, Priority::Interactive)), None);
}

#[test]
fn windows_of_many_processes_keep_one_engine_from_being_overfilled() {
    const PROCESSES: usize = 40;
    const ENGINE_RUNS: u32 = 60;
    let mut windows = [EngineWindow::default(); PROCESSES];
    let mut held = [0_u32; PROCESSES];
    let mut now = START;
    let mut waiting_in_the_end = Vec::new();
    for round in 0..200 {
        now = now.after(Duration::from_millis(300));
        for process in 0..PROCESSES {
            // Every process always has more work than fits.
            held[process] = windows[process].size();
        }
        let total: u32 = held.iter().sum();
        let waiting = total.saturating_sub(ENGINE_RUNS);
        for process in 0..PROCESSES {
            windows[process].observe(waiting, 4, held[process], now);
        }
        if round >= 100 {
            waiting_in_the_end.push(waiting);
        }
    }
    let most = waiting_in_the_end.iter().max().unwrap();
    // Without windows all 40 processes would send at least their first 8: 260 would wait.
    assert!(*most <= 44, "{most} wait");
}

#[test]
fn a_refusal_closes_a_window_faster_than_waiting_but_never_wholly() {
    let mut refused = EngineWindow::default();
    let mut waited = EngineWindow::default();
    refused.refused(START);
    waited.observe(100, 4, 8, START);
    assert!(refused.size() < waited.size());
    for step in 1..100 {
        refused.refused(START.after(Duration::from_secs(step)));
    }
    assert_eq!(refused.size(), 1);
    assert!(refused.admits(Priority::Batch, 0));
}
