//! Continuations: at which software version a stream that was interrupted may go on.
//!
//! Engines of several software versions may serve one pool, and what two versions write does not fit together. A stream
//! therefore goes on only at the version that began it. Nodes keep a [`Record`](Register) of each stream while several
//! versions serve, at a few of them that follow from the stream's id; see `docs/design/continuations.md`.

mod decision;
mod handovers;
mod holders;
mod journal;
mod knowledge;
mod open_segment;
mod register;
mod shard;
mod shard_ranking;
mod stream_id;
mod version_history;
mod write_pace;
mod writer;

pub use decision::{Answers, Decision, Outlook, Unresolved, decide, decide_with_answers};
pub use handovers::{CONFIRMATION_TIMEOUT, Handovers, NAMED_TIME, SILENCE_TIME};
pub use holders::{HOLDERS, Node, holders_of};
pub use journal::{
    Entry, Journal, MAX_SEGMENT_STREAMS, MAX_WRITES, REWRITE_DELAY, SEGMENTS, STORED_RETENTION,
    Segment, SegmentWrite, StoredSegment,
};
pub use knowledge::Knowledge;
pub use register::{RETENTION, Register, Source};
pub use shard::Shard;
pub use shard_ranking::first_of_shard;
pub use stream_id::StreamId;
pub use version_history::{SETTLING_TIME, VersionHistory};
pub use write_pace::WritePace;
pub use writer::Writer;
