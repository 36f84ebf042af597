//! The same seed gives the same run, event for event.

use std::time::Duration;

use ryerouter_testbed::faults::{NamedRun, run_once};
use ryerouter_testbed::simulation::ClusterSettings;

fn trace_hash(seed: u64) -> u64 {
    let duration = Duration::from_secs(60);
    let settings = ClusterSettings {
        seed,
        duration,
        ..ClusterSettings::default()
    };
    run_once(NamedRun::Everything, &settings).outcome.trace_hash
}

#[test]
fn same_seed_same_trace() {
    assert_eq!(trace_hash(7), trace_hash(7));
}

#[test]
fn other_seed_other_trace() {
    assert_ne!(trace_hash(7), trace_hash(8));
}
