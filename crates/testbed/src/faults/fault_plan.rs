//! Which faults a run brings about, and when.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::NamedRun;
use crate::simulation::{ClusterSettings, Endpoint, Fault, NetworkCut, TimedFault};

/// Faults begin after the cluster has come up.
const FIRST_FAULT: Duration = Duration::from_secs(15);
/// Mean time between faults of a run of one kind.
const FAULT_INTERVAL: Duration = Duration::from_secs(18);
/// Mean time between faults of the run of all kinds.
const CROWDED_INTERVAL: Duration = Duration::from_secs(7);
/// Makes the plan's randomness another than the cluster's.
const PLAN_SEED: u64 = 0x5eed_fa17;

/// Runs whose faults the run of all kinds draws from.
const KINDS: [NamedRun; 19] = [
    NamedRun::EngineCrash,
    NamedRun::EngineFreeze,
    NamedRun::EventGaps,
    NamedRun::NodeRestart,
    NamedRun::NodeHerd,
    NamedRun::HotPrefixShift,
    NamedRun::StoreDown,
    NamedRun::StoreSlow,
    NamedRun::StoreAnswersLost,
    NamedRun::NodePause,
    NamedRun::OperatorRace,
    NamedRun::PoorNetwork,
    NamedRun::OneWayCut,
    NamedRun::ZoneCut,
    NamedRun::RegionCut,
    NamedRun::PlatformCut,
    NamedRun::Drain,
    NamedRun::PlannedStop,
    NamedRun::Rollout,
];

/// Draws the faults of a run from its seed.
pub fn fault_plan(run: NamedRun, settings: &ClusterSettings) -> Vec<TimedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(settings.seed ^ PLAN_SEED);
    let mut plan = Vec::new();
    let mut at = FIRST_FAULT;
    while at < settings.duration {
        match run {
            NamedRun::Calm => break,
            NamedRun::Everything => {
                let kind = *KINDS.choose(&mut random).expect("there are kinds");
                plan.push(draw(kind, at, settings, &mut random));
            }
            NamedRun::RestartWithoutStore => {
                restart_without_store(at, settings, &mut random, &mut plan)
            }
            NamedRun::DirectorPause => director_pause(at, settings, &mut random, &mut plan),
            kind => plan.push(draw(kind, at, settings, &mut random)),
        }
        let mean = if run == NamedRun::Everything {
            CROWDED_INTERVAL
        } else {
            FAULT_INTERVAL
        };
        at += mean.mul_f64(random.random_range(0.3..1.7));
    }
    plan
}

fn restart_without_store(
    at: Duration,
    settings: &ClusterSettings,
    random: &mut ChaCha8Rng,
    plan: &mut Vec<TimedFault>,
) {
    plan.push(TimedFault {
        begins: at,
        lasts: Duration::from_secs(15),
        fault: Fault::StoreDown,
    });
    let restart = at + Duration::from_secs(4);
    plan.push(draw(NamedRun::NodeRestart, restart, settings, random));
}

fn director_pause(
    at: Duration,
    settings: &ClusterSettings,
    random: &mut ChaCha8Rng,
    plan: &mut Vec<TimedFault>,
) {
    plan.push(TimedFault {
        begins: at,
        lasts: Duration::from_secs(20),
        fault: Fault::PoorNetwork,
    });
    plan.push(draw(
        NamedRun::Rollout,
        at + Duration::from_secs(1),
        settings,
        random,
    ));
    let pause = seconds(random, 5.0, 40.0);
    plan.push(TimedFault {
        begins: at + seconds(random, 2.0, 12.0),
        lasts: Duration::ZERO,
        fault: Fault::DirectorPause { pause },
    });
}

fn seconds(random: &mut ChaCha8Rng, least: f64, most: f64) -> Duration {
    Duration::from_secs_f64(random.random_range(least..most))
}

fn draw(
    kind: NamedRun,
    begins: Duration,
    settings: &ClusterSettings,
    random: &mut ChaCha8Rng,
) -> TimedFault {
    let node = random.random_range(0..settings.nodes);
    let back_end = random.random_range(0..settings.engines + settings.services);
    let zone = random.random_range(0..settings.zones);
    let away = seconds(random, 0.2, 8.0);
    let lasts = seconds(random, 1.0, 25.0);
    let fault = match kind {
        NamedRun::EngineCrash => Fault::BackEndCrash { back_end, away },
        NamedRun::EngineFreeze => Fault::BackEndFreeze { back_end },
        NamedRun::EventGaps => Fault::WatchGap,
        NamedRun::NodeRestart => Fault::NodeCrash { node, away },
        NamedRun::NodeHerd => Fault::NodeHerd { away },
        NamedRun::HotPrefixShift => Fault::HotPrefixShift,
        NamedRun::StoreDown => Fault::StoreDown,
        NamedRun::StoreSlow if random.random_bool(0.5) => Fault::StoreStaleReads,
        NamedRun::StoreSlow => Fault::StoreSlow(seconds(random, 0.1, 3.0)),
        NamedRun::StoreAnswersLost => Fault::StoreAnswersLost,
        NamedRun::NodePause => Fault::NodePause { node, pause: lasts },
        NamedRun::OperatorRace => Fault::OperatorRace,
        NamedRun::PoorNetwork => Fault::PoorNetwork,
        NamedRun::OneWayCut => Fault::Cut(one_way_cut(settings, node, back_end, random)),
        NamedRun::ZoneCut => Fault::Cut(NetworkCut::Zone(zone)),
        NamedRun::RegionCut => Fault::Cut(NetworkCut::Regions),
        NamedRun::PlatformCut => Fault::Cut(NetworkCut::Platform),
        NamedRun::Drain => Fault::BackEndPlannedStop { back_end },
        NamedRun::PlannedStop => Fault::NodePlannedStop { node },
        NamedRun::Rollout => Fault::Rollout,
        NamedRun::Calm
        | NamedRun::DirectorPause
        | NamedRun::RestartWithoutStore
        | NamedRun::Everything => {
            unreachable!("these runs draw from the other kinds")
        }
    };
    // A drained back end stays away for long enough that its drain can be judged.
    let lasts = if kind == NamedRun::Drain {
        lasts + Duration::from_secs(12)
    } else {
        lasts
    };
    TimedFault {
        begins,
        lasts,
        fault,
    }
}

fn one_way_cut(
    settings: &ClusterSettings,
    node: usize,
    back_end: usize,
    random: &mut ChaCha8Rng,
) -> NetworkCut {
    let other = if random.random_bool(0.5) {
        Endpoint::BackEnd(back_end)
    } else {
        Endpoint::Node((node + 1) % settings.nodes)
    };
    if random.random_bool(0.5) {
        NetworkCut::OneWay {
            from: Endpoint::Node(node),
            to: other,
        }
    } else {
        NetworkCut::OneWay {
            from: other,
            to: Endpoint::Node(node),
        }
    }
}
