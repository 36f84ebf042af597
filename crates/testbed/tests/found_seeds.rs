//! Runs that once broke a promise, by seed; each was mended at its cause.

use ryerouter_testbed::faults::{NamedRun, run_once};
use ryerouter_testbed::simulation::ClusterSettings;
use yare::parameterized;

#[parameterized(
    offers_to_a_frozen_engine = { NamedRun::Everything, 100 },
    zone_of_the_platform_cut = { NamedRun::ZoneCut, 101 },
    drain_behind_a_cut = { NamedRun::Everything, 1002 },
    overlapping_pauses = { NamedRun::NodePause, 2 },
    refused_after_its_key_ran = { NamedRun::NodeHerd, 1 },
    lone_node_waits_for_peers = { NamedRun::Everything, 2056 },
    drain_races_return = { NamedRun::Drain, 5075 },
    lost_first_pull = { NamedRun::PlannedStop, 20_151 },
    herd_then_store_down = { NamedRun::Everything, 2060 },
)]
fn keeps_every_promise(run: NamedRun, seed: u64) {
    let settings = ClusterSettings {
        seed,
        ..ClusterSettings::default()
    };
    assert_eq!(run_once(run, &settings).outcome.violations, []);
}
