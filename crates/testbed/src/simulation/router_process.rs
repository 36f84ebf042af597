//! A simulated router process.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ryerouter_core::claim::ClaimGrant;
use ryerouter_core::control::{ControlState, ObjectPrefix};
use ryerouter_core::dispatch::Dispatcher;
use ryerouter_core::identity::AttemptId;

use super::ClusterEvent;

/// A submission that a router process works on.
#[derive(Debug, Clone, Default)]
pub struct SubmissionProgress {
    /// Chunks that reached the caller.
    pub delivered: u64,
    /// Whether it still waits for its key to be claimed.
    pub claiming: bool,
    /// The claim under which it may run, if it is marked to run at most once.
    pub grant: Option<ClaimGrant>,
    /// Whether it was admitted, that is, an attempt was made.
    pub admitted: bool,
}

/// An attempt that a router process reads.
#[derive(Debug, Clone)]
pub struct AttemptProgress {
    /// The submission.
    pub submission: u64,
    /// Index of the back end.
    pub back_end: usize,
    /// Whether the head of the answer has arrived.
    pub head: bool,
    /// Index of the next chunk.
    pub next_chunk: u64,
}

/// One start of a router process: the real decisions with simulated sockets.
pub struct RunningProcess {
    /// Control decisions.
    pub control: ControlState,
    /// Traffic decisions.
    pub dispatcher: Dispatcher,
    /// Submissions in progress.
    pub submissions: BTreeMap<u64, SubmissionProgress>,
    /// Attempts in progress.
    pub attempts: BTreeMap<AttemptId, AttemptProgress>,
    /// Prefixes it watches, with the last revision it was sent.
    pub watches: BTreeMap<ObjectPrefix, u64>,
    /// Whether it reads the machine list.
    pub reads_machine_list: bool,
    /// Whether it has said that it is ready.
    pub ready: bool,
    /// Whether it takes new requests.
    pub stopping: bool,
}

/// A router process over all its starts.
pub struct RouterProcess {
    /// Its name.
    pub name: String,
    /// Its address for peers.
    pub address: SocketAddr,
    /// Which start this is.
    pub start: u64,
    /// Its state while it runs.
    pub running: Option<RunningProcess>,
    /// How far its clock is ahead of the cluster's, in microseconds.
    pub clock_ahead_us: i64,
    /// End of a pause, in microseconds; `None` while it runs.
    pub paused_until_us: Option<u64>,
    /// What arrived during a pause, in order.
    pub held: Vec<ClusterEvent>,
}
