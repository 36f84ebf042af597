//! Each promise has a deliberate mistake that breaks it, and a fault run that catches the mistake.

use std::time::Duration;

use ryerouter_testbed::faults::{NamedRun, run_once};
use ryerouter_testbed::oracle::Promise;
use ryerouter_testbed::simulation::{ClusterSettings, MUTATIONS, Mutation};
use yare::parameterized;

/// Seeds tried until the mistake shows.
const SEEDS: u64 = 6;
const DURATION: Duration = Duration::from_secs(180);

fn settings(seed: u64, mutation: Option<Mutation>) -> ClusterSettings {
    ClusterSettings {
        seed,
        mutation,
        duration: DURATION,
        ..ClusterSettings::default()
    }
}

fn breaks(run: NamedRun, seed: u64, mutation: Option<Mutation>, promise: Promise) -> bool {
    let result = run_once(run, &settings(seed, mutation));
    let violations = result.outcome.violations;
    violations
        .iter()
        .any(|violation| violation.promise == promise)
}

#[parameterized(
    incarnation = { Mutation::IncarnationIgnored, NamedRun::EngineCrash, Promise::CacheIsolation },
    salt = { Mutation::CacheUnsalted, NamedRun::Calm, Promise::CacheIsolation },
    resume = { Mutation::ResumeSkipsChunk, NamedRun::EngineFreeze, Promise::StreamIntegrity },
    readiness = { Mutation::ReadyNeedsStore, NamedRun::RestartWithoutStore, Promise::RestartReadiness },
    reuse = { Mutation::ConnectionReusedAfterCancel, NamedRun::Calm, Promise::ResponseCorrelation },
    unknown = { Mutation::UnknownAsNotRun, NamedRun::EngineFreeze, Promise::RefusalTruth },
    unknown_twice = { Mutation::UnknownAsNotRun, NamedRun::EngineFreeze, Promise::AtMostOnce },
    claim = { Mutation::ClaimWithoutQuorum, NamedRun::NodeRestart, Promise::AtMostOnce },
    drain = { Mutation::DrainNoticeDropped, NamedRun::Drain, Promise::Drain },
    stop = { Mutation::StopCutsStreams, NamedRun::PlannedStop, Promise::GracefulStop },
    compare = { Mutation::WriteWithoutCompare, NamedRun::OperatorRace, Promise::ConfigurationMonotonicity },
    revert = { Mutation::SnapshotReverts, NamedRun::Calm, Promise::ConfigurationMonotonicity },
    spread = { Mutation::ConfigurationNotSpread, NamedRun::Calm, Promise::ConfigurationMonotonicity },
    limit = { Mutation::LimitNotEnforced, NamedRun::Calm, Promise::TenantLimits },
    fencing = { Mutation::FencingIgnored, NamedRun::DirectorPause, Promise::Fencing },
)]
fn is_caught(mutation: Mutation, run: NamedRun, promise: Promise) {
    let seed = (1..=SEEDS).find(|seed| breaks(run, *seed, Some(mutation), promise));
    let seed = seed.unwrap_or_else(|| panic!("{mutation} went unseen by {run}"));
    let without = breaks(run, seed, None, promise);
    assert!(
        !without,
        "{run} with seed {seed} breaks {promise} without {mutation}"
    );
}

#[test]
fn names_are_read_back() {
    for mutation in MUTATIONS {
        assert_eq!(mutation.to_string().parse(), Ok(mutation));
    }
}
