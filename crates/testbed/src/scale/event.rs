//! What happens in a run at scale.

use std::net::SocketAddr;

use desque::serial::{Event, Simulation};
use ryerouter_core::control::{StoreAnswer, StoreCall, StoreRequestId, WatchEvent};
use ryerouter_core::identity::{IdempotencyKey, TenantName};

use super::hollow_cluster::HollowCluster;
use super::load::LoadEvent;
use super::process::Process;

/// What happens in a run at scale.
#[derive(Debug)]
pub enum ScaleEvent {
    /// The run begins.
    Begin,
    /// A node starts.
    Starts(usize),
    /// A control state's tick is due.
    Tick(Process),
    /// A message arrives.
    Message {
        /// Receiver.
        to: usize,
        /// Sender's address.
        from: SocketAddr,
        /// The JSON line.
        line: Vec<u8>,
        /// Bytes on the wire, headers included.
        wire_bytes: u64,
    },
    /// A stream could not be opened.
    StreamFailed {
        /// The sender.
        process: Process,
        /// The receiver's address.
        to: SocketAddr,
    },
    /// A call reaches the object API.
    StoreCalled {
        /// The caller.
        process: Process,
        /// Identifies the answer.
        id: StoreRequestId,
        /// The call.
        call: StoreCall,
    },
    /// An answer of the object API arrives.
    StoreAnswered {
        /// The caller.
        process: Process,
        /// Identifies the answer.
        id: StoreRequestId,
        /// The answer.
        answer: StoreAnswer,
    },
    /// An event of a watch arrives.
    Watched {
        /// The watcher.
        process: Process,
        /// The event.
        event: WatchEvent,
    },
    /// A request ends.
    RequestEnds {
        /// The node.
        process: Process,
        /// Its tenant.
        tenant: TenantName,
        /// Its key, if it was to run at most once.
        key: Option<IdempotencyKey>,
    },
    /// Operators, engines or machines do something.
    Load(LoadEvent),
    /// A window of the byte count ends.
    WindowEnds,
    /// The warm-up is over.
    WarmUpEnds,
}

impl Event<HollowCluster, u64> for ScaleEvent {
    fn execute(&mut self, simulation: &mut Simulation<HollowCluster, u64>) -> desque::Result {
        let now_micros = *simulation.current_time();
        let event = std::mem::replace(self, Self::Begin);
        let cluster = simulation.state_mut();
        cluster.take(event, now_micros);
        for (at_micros, event) in cluster.take_scheduled() {
            simulation.schedule(event, at_micros)?;
        }
        Ok(())
    }
}
