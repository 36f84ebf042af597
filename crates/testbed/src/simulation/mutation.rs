//! Deliberate mistakes.

use std::str::FromStr;

use derive_more::{Display, Error};

/// A deliberate mistake, made at the border of the decisions, that breaks one promise. A run with
/// it must end in a violation; otherwise the promise is not really checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum Mutation {
    /// An attempt whose fate is unknown is reported as not run.
    #[display("unknown-as-not-run")]
    UnknownAsNotRun,
    /// A claim counts as granted without asking the keepers.
    #[display("claim-without-quorum")]
    ClaimWithoutQuorum,
    /// Attempts name no incarnation, and back ends check none.
    #[display("incarnation-ignored")]
    IncarnationIgnored,
    /// Prefixes are hashed without tenant and weights, and engines keep caches over new weights.
    #[display("cache-unsalted")]
    CacheUnsalted,
    /// Log entries are written without the condition that they do not exist.
    #[display("write-without-compare")]
    WriteWithoutCompare,
    /// Traffic threads get snapshots without the back ends that leave.
    #[display("drain-notice-dropped")]
    DrainNoticeDropped,
    /// A snapshot of the past is published now and then.
    #[display("snapshot-reverts")]
    SnapshotReverts,
    /// Configuration messages between nodes are dropped, and watches too.
    #[display("configuration-not-spread")]
    ConfigurationNotSpread,
    /// A resumed stream starts one chunk late.
    #[display("resume-skips-chunk")]
    ResumeSkipsChunk,
    /// Chunks of a cancelled attempt are given to the next caller on the connection.
    #[display("connection-reused-after-cancel")]
    ConnectionReusedAfterCancel,
    /// A planned stop ends the process at once.
    #[display("stop-cuts-streams")]
    StopCutsStreams,
    /// A process waits for the platform before it serves.
    #[display("ready-needs-store")]
    ReadyNeedsStore,
    /// Nodes admit requests without tickets of their tenants' limits.
    #[display("limit-not-enforced")]
    LimitNotEnforced,
    /// Engines obey orders of older leases.
    #[display("fencing-ignored")]
    FencingIgnored,
}

/// All mutations, in the order of the promises they break.
pub const MUTATIONS: [Mutation; 14] = [
    Mutation::IncarnationIgnored,
    Mutation::CacheUnsalted,
    Mutation::ResumeSkipsChunk,
    Mutation::ReadyNeedsStore,
    Mutation::ConnectionReusedAfterCancel,
    Mutation::UnknownAsNotRun,
    Mutation::ClaimWithoutQuorum,
    Mutation::DrainNoticeDropped,
    Mutation::StopCutsStreams,
    Mutation::WriteWithoutCompare,
    Mutation::SnapshotReverts,
    Mutation::ConfigurationNotSpread,
    Mutation::LimitNotEnforced,
    Mutation::FencingIgnored,
];

/// A name is that of no mutation.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("mutate = {name:?}: no such mutation; `ryebench faults --list` names them")]
pub struct UnknownMutation {
    /// The name.
    pub name: String,
}

impl FromStr for Mutation {
    type Err = UnknownMutation;

    fn from_str(name: &str) -> Result<Self, UnknownMutation> {
        MUTATIONS
            .into_iter()
            .find(|mutation| mutation.to_string() == name)
            .ok_or_else(|| UnknownMutation {
                name: name.to_owned(),
            })
    }
}
