//! Every named fault run keeps every promise, with fixed seeds.

use std::time::Duration;

use ryerouter_testbed::faults::{NAMED_RUNS, run_once};
use ryerouter_testbed::simulation::ClusterSettings;

const SEED: u64 = 11;
const DURATION: Duration = Duration::from_secs(100);

#[test]
fn every_run_keeps_every_promise() {
    for run in NAMED_RUNS {
        let settings = ClusterSettings {
            seed: SEED,
            duration: DURATION,
            ..ClusterSettings::default()
        };
        let outcome = run_once(run, &settings).outcome;
        assert_eq!(outcome.violations, [], "{run} with seed {SEED}");
        assert!(outcome.counters.completed > 0, "{run} served nothing");
    }
}
