//! Stateful fuzzing of whole clusters: any sequence of faults, together and twice, with the oracle
//! as the only judge. Failures shrink to the fewest faults and print the seed of the cluster.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use ryerouter_testbed::simulation::{
    ClusterSettings, Endpoint, Fault, NetworkCut, SteppedCluster, TimedFault,
};

/// Seed of the sequences that CI tries.
const FIXED_SEED: u64 = 20_26;
/// Sequences that CI tries.
const CASES: u32 = 12;
/// The load goes on for longer than any sequence, so that no step falls into the rest.
const LOAD: Duration = Duration::from_secs(600);
/// Time for everything to come up before the first step.
const WARM_UP: Duration = Duration::from_secs(12);
/// Time at the end for what is overdue to show.
const SETTLE: Duration = Duration::from_secs(50);

/// What the generator needs to know: the size of the cluster and its seed.
#[derive(Debug, Clone)]
struct Reference {
    seed: u64,
    steps: usize,
}

/// One step of a sequence.
#[derive(Debug, Clone)]
enum Step {
    /// A fault begins now and ends after a while.
    BringAbout(Fault, Duration),
    /// Time passes.
    Wait(Duration),
}

struct ClusterFuzz;

fn settings(seed: u64) -> ClusterSettings {
    ClusterSettings {
        seed,
        duration: LOAD,
        ..ClusterSettings::default()
    }
}

fn milliseconds(least: u64, most: u64) -> impl Strategy<Value = Duration> {
    (least..most).prop_map(Duration::from_millis)
}

fn cut() -> impl Strategy<Value = NetworkCut> {
    let size = ClusterSettings::default();
    let node = (0..size.nodes).prop_map(Endpoint::Node);
    let back_end = (0..size.engines + size.services).prop_map(Endpoint::BackEnd);
    let endpoint = prop_oneof![node, back_end].boxed();
    prop_oneof![
        (endpoint.clone(), endpoint).prop_map(|(from, to)| NetworkCut::OneWay { from, to }),
        (0..size.zones).prop_map(NetworkCut::Zone),
        Just(NetworkCut::Regions),
        Just(NetworkCut::Platform),
    ]
}

fn fault() -> impl Strategy<Value = Fault> {
    let size = ClusterSettings::default();
    let back_end = 0..size.engines + size.services;
    let node = 0..size.nodes;
    prop_oneof![
        (back_end.clone(), milliseconds(100, 8_000))
            .prop_map(|(back_end, away)| Fault::BackEndCrash { back_end, away }),
        back_end
            .clone()
            .prop_map(|back_end| Fault::BackEndFreeze { back_end }),
        (node.clone(), milliseconds(100, 8_000))
            .prop_map(|(node, away)| Fault::NodeCrash { node, away }),
        milliseconds(100, 5_000).prop_map(|away| Fault::NodeHerd { away }),
        node.clone()
            .prop_map(|node| Fault::NodePlannedStop { node }),
        (node, milliseconds(500, 30_000))
            .prop_map(|(node, pause)| Fault::NodePause { node, pause }),
        cut().prop_map(Fault::Cut),
        milliseconds(500, 40_000).prop_map(|pause| Fault::DirectorPause { pause }),
        Just(Fault::PoorNetwork),
        Just(Fault::StoreDown),
        milliseconds(100, 3_000).prop_map(Fault::StoreSlow),
        Just(Fault::StoreAnswersLost),
        Just(Fault::StoreStaleReads),
        Just(Fault::WatchGap),
        Just(Fault::OperatorRace),
        Just(Fault::Rollout),
        Just(Fault::HotPrefixShift),
    ]
}

impl ReferenceStateMachine for Reference {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        any::<u64>()
            .prop_map(|seed| Self { seed, steps: 0 })
            .boxed()
    }

    fn transitions(_state: &Self) -> BoxedStrategy<Step> {
        prop_oneof![
            3 => (fault(), milliseconds(200, 25_000))
                .prop_map(|(fault, lasts)| Step::BringAbout(fault, lasts)),
            2 => milliseconds(50, 15_000).prop_map(Step::Wait),
        ]
        .boxed()
    }

    fn apply(mut state: Self, _step: &Step) -> Self {
        state.steps += 1;
        state
    }
}

impl StateMachineTest for ClusterFuzz {
    type SystemUnderTest = SteppedCluster;
    type Reference = Reference;

    fn init_test(reference: &Reference) -> SteppedCluster {
        let mut cluster = SteppedCluster::new(settings(reference.seed));
        cluster.advance(WARM_UP);
        cluster
    }

    fn apply(mut cluster: SteppedCluster, reference: &Reference, step: Step) -> SteppedCluster {
        match step {
            Step::BringAbout(fault, lasts) => {
                cluster.bring_about(TimedFault {
                    begins: Duration::ZERO,
                    lasts,
                    fault,
                });
            }
            Step::Wait(duration) => cluster.advance(duration),
        }
        assert_kept(&cluster, reference);
        cluster
    }

    fn teardown(mut cluster: SteppedCluster, reference: Reference) {
        cluster.advance(SETTLE);
        assert_kept(&cluster, &reference);
    }
}

fn assert_kept(cluster: &SteppedCluster, reference: &Reference) {
    let violations = cluster.outcome().violations;
    assert!(
        violations.is_empty(),
        "seed {}: {}",
        reference.seed,
        violations[0]
    );
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: CASES,
        rng_seed: RngSeed::Fixed(FIXED_SEED),
        failure_persistence: None,
        max_shrink_iters: 400,
        ..Config::default()
    })]

    #[test]
    fn promises_hold_in_any_sequence(sequential 1..14 => ClusterFuzz);
}
