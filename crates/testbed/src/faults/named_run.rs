//! Names of fault runs.

use std::str::FromStr;

use derive_more::{Display, Error};

/// A fault run: one kind of fault, or several together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum NamedRun {
    /// No fault at all.
    #[display("calm")]
    Calm,
    /// Engines crash and come back empty.
    #[display("engine-crash")]
    EngineCrash,
    /// Back ends freeze and go on.
    #[display("engine-freeze")]
    EngineFreeze,
    /// Watches end with gaps.
    #[display("event-gaps")]
    EventGaps,
    /// Router processes crash and restart one by one.
    #[display("node-restart")]
    NodeRestart,
    /// All router processes restart at once.
    #[display("node-herd")]
    NodeHerd,
    /// Hot prefixes shift without warning.
    #[display("hot-prefix-shift")]
    HotPrefixShift,
    /// The platform is down for long.
    #[display("store-down")]
    StoreDown,
    /// The platform is slow, and its reads are stale.
    #[display("store-slow")]
    StoreSlow,
    /// Answers of the platform are lost after the effect.
    #[display("store-answers-lost")]
    StoreAnswersLost,
    /// Router processes pause past their leases.
    #[display("node-pause")]
    NodePause,
    /// Operators race one another.
    #[display("operator-race")]
    OperatorRace,
    /// Datagrams are lost, doubled, reordered and late.
    #[display("poor-network")]
    PoorNetwork,
    /// Links fail in one direction.
    #[display("one-way-cut")]
    OneWayCut,
    /// A zone is cut off.
    #[display("zone-cut")]
    ZoneCut,
    /// Regions lose each other.
    #[display("region-cut")]
    RegionCut,
    /// The platform can't be reached.
    #[display("platform-cut")]
    PlatformCut,
    /// Back ends are drained, stopped and taken back.
    #[display("drain")]
    Drain,
    /// Router processes are stopped as planned.
    #[display("planned-stop")]
    PlannedStop,
    /// New weights roll out.
    #[display("rollout")]
    Rollout,
    /// The node that directs engines pauses past its lease during rollouts, and its orders are late.
    #[display("director-pause")]
    DirectorPause,
    /// Router processes restart while the platform is down.
    #[display("restart-without-store")]
    RestartWithoutStore,
    /// Any faults, together and twice.
    #[display("everything")]
    Everything,
}

/// All fault runs.
pub const NAMED_RUNS: [NamedRun; 23] = [
    NamedRun::Calm,
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
    NamedRun::DirectorPause,
    NamedRun::RestartWithoutStore,
    NamedRun::Everything,
];

/// A name is that of no fault run.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("only = {name:?}: no such fault run; `ryebench faults --list` names them")]
pub struct UnknownRun {
    /// The name.
    pub name: String,
}

impl FromStr for NamedRun {
    type Err = UnknownRun;

    fn from_str(name: &str) -> Result<Self, UnknownRun> {
        NAMED_RUNS
            .into_iter()
            .find(|run| run.to_string() == name)
            .ok_or_else(|| UnknownRun {
                name: name.to_owned(),
            })
    }
}
