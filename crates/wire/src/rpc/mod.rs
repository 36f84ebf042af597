//! Conversions between the generated operator RPC and the types of the core.
//!
//! Whatever comes from outside is checked field by field; all faults are reported at once, each
//! with the field, its value and the reason.

mod back_end;
mod catalog;
mod cluster_status;
mod convert_all;
mod error_details;
mod fault_list;
mod invalid_message;
mod mutation;
mod node_state;
mod pool;
mod receipt;
mod refusal;
mod requested_change;
mod resource;
mod resource_kind;
mod stage;
mod stage_progress;
mod tenant;
mod watch_event;
mod weights_rollout;
mod write_requests;

pub use cluster_status::node_statuses;
pub use convert_all::convert_all;
pub use error_details::{error_details, status_with_details};
pub use fault_list::FaultList;
pub use invalid_message::InvalidMessage;
pub use receipt::write_receipt;
pub use refusal::refusal_status;
pub use requested_change::RequestedChange;
pub use resource_kind::reference;
