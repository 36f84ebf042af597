//! Random faults, one on top of another: what operators were told stays true, and when all is well
//! again all nodes agree.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ryerouter_core::config::{Change, ChangeRefusal, Expectation};
use ryerouter_core::control::OperationId;
use support::{VirtualCluster, change, put, tenant};
use yare::parameterized;

const ZONES: usize = 6;
const NODES_PER_ZONE: usize = 2;
const NODES: usize = ZONES * NODES_PER_ZONE;
const STEPS: usize = 120;
const RECOVERY: Duration = Duration::from_secs(120);

struct Run {
    cluster: VirtualCluster,
    random: ChaCha8Rng,
    operations: BTreeMap<OperationId, String>,
    changes: usize,
}

#[parameterized(
    seed_1 = { 1 }, seed_2 = { 2 }, seed_3 = { 3 }, seed_4 = { 4 },
    seed_5 = { 5 }, seed_6 = { 6 }, seed_7 = { 7 }, seed_8 = { 8 },
)]
fn what_operators_were_told_stays_true(seed: u64) {
    let mut run = Run {
        cluster: VirtualCluster::started(ZONES, NODES_PER_ZONE, seed),
        random: ChaCha8Rng::seed_from_u64(seed),
        operations: BTreeMap::new(),
        changes: 0,
    };
    run.cluster.run_seconds(5);
    for _ in 0..STEPS {
        run.step();
    }
    run.recover();
    run.check_answers();
}

impl Run {
    fn step(&mut self) {
        match self.random.random_range(0..16) {
            0..=5 => self.submit_new(),
            6 => self.submit_again(),
            7 => self.cut_zones(),
            8 => self.cluster.heal(),
            9 => self.cluster.store.down ^= true,
            10 => self.fail_writes(),
            11 => self.cluster.store.down = false,
            12 => self.cluster.store.land_late_writes(),
            13 => self.restart_some(),
            14 => self.pause_one(),
            _ => self.cluster.loss = self.random.random_range(0.0..0.3),
        }
        let pause = self.random.random_range(10..4_000);
        self.cluster.run_for(Duration::from_millis(pause));
    }

    fn submit_new(&mut self) {
        self.changes += 1;
        self.submit(self.changes);
    }

    fn submit_again(&mut self) {
        if self.changes > 0 {
            let number = self.random.random_range(1..=self.changes);
            self.submit(number);
        }
    }

    fn submit(&mut self, number: usize) {
        let Some(node) = self.cluster.up().into_iter().choose(&mut self.random) else {
            return;
        };
        let change = nth_change(number);
        let id = change.change_id.to_string();
        let operation = self.cluster.submit(node, change);
        self.operations.insert(operation, id);
    }

    fn cut_zones(&mut self) {
        let cut: BTreeSet<usize> = (0..ZONES)
            .filter(|_| self.random.random_bool(0.4))
            .collect();
        let (left, right): (Vec<usize>, Vec<usize>) =
            (0..NODES).partition(|node| cut.contains(&(node % ZONES)));
        self.cluster.partition(&left, &right);
    }

    fn fail_writes(&mut self) {
        let store = &mut self.cluster.store;
        store.lose_answers = self.random.random_range(0..3);
        store.delay_writes = self.random.random_range(0..3);
        store.fails_with_write = self.random.random_bool(0.7);
    }

    fn restart_some(&mut self) {
        for node in 0..NODES {
            if self.random.random_bool(0.3) {
                self.cluster.restart(node);
            }
        }
    }

    fn pause_one(&mut self) {
        let node = self.random.random_range(0..NODES);
        let millis = self.random.random_range(0..30_000);
        self.cluster.pause(node, Duration::from_millis(millis));
    }

    fn recover(&mut self) {
        let store = &mut self.cluster.store;
        store.down = false;
        store.lose_answers = 0;
        store.delay_writes = 0;
        store.fails_with_write = false;
        self.cluster.loss = 0.0;
        self.cluster.heal();
        // Writes that were under way land at any time, also after everything else.
        self.cluster.run_seconds(30);
        self.cluster.store.land_late_writes();
        let recovered = self.cluster.run_until(RECOVERY, |cluster| {
            let newest = cluster.store.log_length() as u64;
            cluster.membership_is_right() && cluster.all_at(newest) && cluster.all_serving()
        });
        assert!(recovered.is_some(), "all nodes agree again");
    }

    fn check_answers(&self) {
        let logged = self.cluster.store.logged_changes();
        let once: BTreeSet<&String> = logged.iter().collect();
        assert_eq!(once.len(), logged.len(), "no change is in the log twice");
        let mut certain = BTreeMap::new();
        for (operation, id) in &self.operations {
            match self.cluster.answers.get(operation) {
                Some(Ok(accepted)) => {
                    let position = logged.iter().position(|logged| logged == id);
                    assert_eq!(position, Some(accepted.version.0 as usize - 1), "{id}");
                    certain.insert(id, false);
                }
                Some(Err(ChangeRefusal::StoreUnavailable { .. })) => {
                    certain.entry(id).or_insert(true);
                }
                _ => {
                    certain.insert(id, false);
                }
            }
        }
        for (id, was_never_written) in certain {
            let is_logged = logged.contains(id);
            assert!(
                !(was_never_written && is_logged),
                "{id} was told as not written"
            );
        }
    }
}

fn nth_change(number: usize) -> Change {
    let name = format!("tenant-{}", number % 5);
    let resource = tenant(&name, 1 + number as u32);
    change(
        &format!("change-{number}"),
        vec![put(resource, Expectation::Any)],
    )
}
