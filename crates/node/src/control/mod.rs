//! The control thread: owns [`ryerouter_core::control::ControlState`], carries out its actions over
//! sockets and publishes snapshots to the traffic threads.
//!
//! Nothing on this thread waits for the network: every call runs as a task of the thread's own
//! runtime and comes back as an event.

mod back_end_observation;
mod bound_control;
mod change_log;
mod claim_command;
mod claim_wait;
mod control_claim_gate;
mod control_command;
mod control_error;
mod control_gone;
mod control_handle;
mod control_input;
mod control_io;
mod control_loop;
mod control_options;
mod control_queues;
mod control_report;
mod control_thread;
mod engine_caller;
mod engine_worker;
mod grant_sink;
mod machine_poller;
mod pending_claim;
mod pending_operations;
mod store_conversion;
mod store_worker;
mod watch_worker;

pub use back_end_observation::BackEndObservation;
pub use bound_control::BoundControl;
pub use change_log::ChangeLog;
pub use control_claim_gate::ControlClaimGate;
pub use control_command::ControlCommand;
pub use control_error::ControlError;
pub use control_gone::ControlGone;
pub use control_handle::ControlHandle;
pub use control_options::ControlOptions;
pub use control_report::ControlReport;
pub use control_thread::ControlThread;

pub(crate) use control_input::ControlInput;
use control_io::ControlIo;
use control_loop::ControlLoop;
use control_queues::ControlQueues;
pub use engine_caller::EngineCaller;
pub use grant_sink::GrantSink;
use machine_poller::MachinePoller;
use pending_operations::PendingOperations;
use store_worker::StoreWorker;
use watch_worker::WatchWorker;
