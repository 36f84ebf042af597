//! What happens in a simulated cluster.

use ryerouter_core::control::{MachineEntry, ObjectPrefix, StoreRevision};
use ryerouter_core::control::{StoreAnswer, StoreCall, StoreRequestId, WatchEvent};
use ryerouter_core::dispatch::{EngineObservation, NotRunReason};
use ryerouter_core::identity::AttemptId;
use ryerouter_core::order::{EngineReport, FencedOrder, OrderAnswer};

use super::AttemptCall;
use super::Fault;
use super::ProcessId;

/// What happens in a simulated cluster. Events for a router process name one start of it and are
/// dropped when that start is over.
#[derive(Debug, Clone)]
pub enum ClusterEvent {
    /// A router process starts.
    NodeStarts {
        /// Index of the process.
        node: usize,
    },
    /// The control state's tick is due.
    ControlTick(ProcessId),
    /// The dispatcher's tick is due.
    DispatchTick(ProcessId),
    /// A datagram arrives at a node.
    Datagram {
        /// Receiver.
        to: usize,
        /// Sender.
        from: usize,
        /// The JSON line.
        line: String,
    },
    /// A message over a stream arrives at a node.
    StreamMessage {
        /// Receiver.
        to: usize,
        /// Sender.
        from: ProcessId,
        /// The JSON line.
        line: String,
    },
    /// A message over a stream could not be delivered.
    StreamFailed {
        /// Its sender.
        process: ProcessId,
        /// The node it was meant for.
        to: usize,
    },
    /// A call arrives at the object API.
    StoreCalled {
        /// The caller.
        process: ProcessId,
        /// Identifies the answer.
        id: StoreRequestId,
        /// The call.
        call: StoreCall,
    },
    /// An answer of the object API arrives.
    StoreAnswered {
        /// The caller.
        process: ProcessId,
        /// The call.
        id: StoreRequestId,
        /// The answer.
        answer: StoreAnswer,
    },
    /// A watch arrives at the object API.
    WatchStarted {
        /// The watcher.
        process: ProcessId,
        /// Keys to watch.
        prefix: ObjectPrefix,
        /// The first revision of interest.
        from: StoreRevision,
    },
    /// Something of a watch arrives at a node.
    Watched {
        /// The watcher.
        process: ProcessId,
        /// What came.
        event: WatchEvent,
    },
    /// The machine list arrives at a node.
    MachineListRead {
        /// The reader.
        process: ProcessId,
        /// The list.
        machines: Vec<MachineEntry>,
    },
    /// The machine list is due to be read.
    MachineListDue(ProcessId),
    /// The next request comes up.
    NextRequest,
    /// A caller sends a submission, for the first time or again.
    Submit {
        /// The submission.
        submission: u64,
    },
    /// A caller leaves without waiting for its answer.
    CallerLeaves {
        /// The submission.
        submission: u64,
    },
    /// A call of an attempt arrives at a back end.
    AttemptArrives {
        /// The node.
        process: ProcessId,
        /// The call.
        call: Box<AttemptCall>,
    },
    /// An attempt's refusal, or the failure to connect, arrives at the node.
    AttemptNotRun {
        /// The node.
        process: ProcessId,
        /// The attempt.
        attempt: AttemptId,
        /// Why.
        reason: NotRunReason,
        /// What the refusal says of the back end.
        observation: Option<EngineObservation>,
    },
    /// The head of an answer arrives at the node.
    HeadArrives {
        /// The node.
        process: ProcessId,
        /// The attempt.
        attempt: AttemptId,
        /// What it says of the back end.
        observation: EngineObservation,
    },
    /// A chunk of an answer arrives at the node.
    ChunkArrives {
        /// The node.
        process: ProcessId,
        /// The attempt.
        attempt: AttemptId,
        /// Index of the chunk.
        index: u64,
        /// The submission that the chunk answers.
        answers: u64,
    },
    /// The end of an answer arrives at the node.
    EndArrives {
        /// The node.
        process: ProcessId,
        /// The attempt.
        attempt: AttemptId,
        /// What it says of the back end.
        observation: EngineObservation,
    },
    /// A connection to a back end breaks, or has been silent for too long.
    ConnectionBreaks {
        /// The node.
        process: ProcessId,
        /// The attempt.
        attempt: AttemptId,
        /// Chunks received when the timer was set; `None` breaks it in any case.
        silent_since_chunk: Option<u64>,
    },
    /// A back end emits its next chunk.
    ChunkDue {
        /// Index of the back end.
        back_end: usize,
        /// Its incarnation.
        incarnation: u64,
        /// The attempt.
        attempt: AttemptId,
    },
    /// A cancellation arrives at a back end.
    CancelArrives {
        /// Index of the back end.
        back_end: usize,
        /// The attempt.
        attempt: AttemptId,
    },
    /// A back end sees that a node closed its connection.
    ConnectionClosed {
        /// Index of the back end.
        back_end: usize,
        /// The attempt.
        attempt: AttemptId,
    },
    /// A back end's resume window of an unread attempt ends.
    ResumeWindowEnds {
        /// Index of the back end.
        back_end: usize,
        /// Its incarnation.
        incarnation: u64,
        /// The attempt.
        attempt: AttemptId,
    },
    /// A crashed back end starts again.
    BackEndStarts {
        /// Index of the back end.
        back_end: usize,
    },
    /// A paused router process goes on.
    NodeResumes {
        /// Index of the process.
        node: usize,
    },
    /// A load report arrives at the node that asked for it, or does not.
    EngineReported {
        /// The node.
        process: ProcessId,
        /// Index of the back end.
        back_end: usize,
        /// What it says.
        report: Option<EngineReport>,
    },
    /// An order arrives at an engine.
    OrderArrives {
        /// The node that gave it.
        process: ProcessId,
        /// Index of the back end.
        back_end: usize,
        /// The order.
        order: FencedOrder,
    },
    /// The answer to an order arrives at its node, or does not.
    OrderAnswered {
        /// The node.
        process: ProcessId,
        /// Index of the back end.
        back_end: usize,
        /// The answer.
        answer: OrderAnswer,
    },
    /// An engine finishes loading weights.
    WeightsLoaded {
        /// Index of the back end.
        back_end: usize,
        /// Its incarnation.
        incarnation: u64,
        /// The weights.
        weights_version: u64,
    },
    /// A drained back end is asked to stop.
    PlannedStopDue {
        /// Index of the back end.
        back_end: usize,
    },
    /// An operator creates the first configuration.
    FirstChange,
    /// An operator sends a change.
    OperatorActs,
    /// A fault begins.
    FaultBegins(Fault),
    /// A fault ends.
    FaultEnds(Fault),
    /// The oracle looks for what is overdue.
    CheckOverdue,
}

impl ClusterEvent {
    /// The start of a router process that the event is for, if it is for one.
    pub fn process(&self) -> Option<ProcessId> {
        match self {
            Self::ControlTick(process)
            | Self::DispatchTick(process)
            | Self::MachineListDue(process)
            | Self::StreamFailed { process, .. }
            | Self::StoreAnswered { process, .. }
            | Self::Watched { process, .. }
            | Self::MachineListRead { process, .. }
            | Self::EngineReported { process, .. }
            | Self::OrderAnswered { process, .. }
            | Self::AttemptNotRun { process, .. }
            | Self::HeadArrives { process, .. }
            | Self::ChunkArrives { process, .. }
            | Self::EndArrives { process, .. }
            | Self::ConnectionBreaks { process, .. } => Some(*process),
            _ => None,
        }
    }

    /// The router process that takes the event, if one does.
    pub fn receiving_node(&self) -> Option<usize> {
        match self {
            Self::Datagram { to, .. } | Self::StreamMessage { to, .. } => Some(*to),
            _ => self.process().map(|process| process.node),
        }
    }
}
