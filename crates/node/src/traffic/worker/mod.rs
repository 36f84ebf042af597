//! Tasks of the traffic threads.

mod acceptor;
mod snapshot_feed;
mod ticker;
mod worker_loop;

pub(super) use acceptor::Acceptor;
pub(super) use snapshot_feed::SnapshotFeed;
pub(super) use ticker::Ticker;
pub(crate) use worker_loop::Worker;
