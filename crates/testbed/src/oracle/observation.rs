//! What can be seen from outside.

/// What a caller is told of a request that gets no whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedRunState {
    /// It did not run and never will.
    NotRun,
    /// It ran in part.
    Ran,
    /// It may have run.
    Unknown,
}

/// Something seen by a caller, a back end or an operator. Times are not part of it: the oracle
/// gets them beside it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Observation {
    /// A caller sent a request; `submission` is unique for each sending.
    Submitted {
        /// This sending of the request.
        submission: u64,
        /// Key under which it runs at most once, if it is marked so.
        at_most_once_key: Option<String>,
        /// Who asks.
        tenant: String,
    },
    /// A back end began to run a submission.
    ExecutionStarted {
        /// The submission.
        submission: u64,
        /// The back end.
        back_end: String,
        /// Incarnation of the back end.
        incarnation: u64,
    },
    /// A router offered new work to a back end, whether it took it or not (a resumed stream is
    /// not new work).
    WorkOffered {
        /// The router process.
        node: String,
        /// The back end.
        back_end: String,
    },
    /// An attempt was told to rely on a cached prefix.
    CacheRelied {
        /// The submission.
        submission: u64,
        /// The back end.
        back_end: String,
        /// Incarnation that the back end really has.
        actual_incarnation: u64,
        /// Incarnation the router relied on, where it named one.
        relied_incarnation: Option<u64>,
        /// Tenant of the submission.
        tenant: String,
        /// Tenant that computed the entries.
        entry_tenant: String,
        /// Weights the entries were computed with.
        entry_weights: u64,
        /// Weights that the configuration in force at the engine asks for.
        current_weights: u64,
    },
    /// A chunk of an answer reached a caller.
    ChunkDelivered {
        /// The submission whose caller got it.
        submission: u64,
        /// Index of the chunk, from 0.
        index: u64,
        /// The submission that the chunk answers.
        answers: u64,
    },
    /// A caller was told that its answer is whole.
    Completed {
        /// The submission.
        submission: u64,
        /// Chunks the whole answer has.
        expected_chunks: u64,
    },
    /// A caller was told that it gets no whole answer.
    Refused {
        /// The submission.
        submission: u64,
        /// What it was told.
        run_state: ReportedRunState,
        /// Whether the cause was a planned stop alone.
        by_planned_stop: bool,
    },
    /// A back end began to leave: by operators, by its own word or by the machine list.
    LeavingStarted {
        /// The back end.
        back_end: String,
    },
    /// A back end is back, or no longer leaving.
    LeavingEnded {
        /// The back end.
        back_end: String,
    },
    /// Router process started; its peers or the platform were there to learn from.
    NodeStarted {
        /// The process.
        node: String,
    },
    /// Router process is ready to serve.
    NodeReady {
        /// The process.
        node: String,
    },
    /// Router process stopped or crashed.
    NodeGone {
        /// The process.
        node: String,
    },
    /// An operator was told that a change is accepted.
    ChangeAccepted {
        /// Version of the configuration with the change.
        version: u64,
    },
    /// Router process uses a version of the configuration.
    VersionInForce {
        /// The process.
        node: String,
        /// The version.
        version: u64,
        /// Digest of the whole configuration at that version.
        digest: u64,
    },
    /// The process is cut off or paused: it cannot learn anything now.
    NodeUnreachable {
        /// The process.
        node: String,
    },
    /// The process can learn again.
    NodeReachable {
        /// The process.
        node: String,
    },
    /// A tenant's limit was set, as units a second; `None` lifts it.
    LimitSet {
        /// The tenant.
        tenant: String,
        /// Units a second over all processes.
        per_second: Option<u64>,
    },
    /// A unit of a tenant's limit was spent by an admitted request.
    LimitSpent {
        /// The tenant.
        tenant: String,
        /// Units.
        units: u64,
    },
    /// A back end obeyed an order.
    OrderObeyed {
        /// The back end.
        back_end: String,
        /// Its incarnation.
        incarnation: u64,
        /// Number of the lease under which the order was given.
        fencing_number: u64,
    },
}
