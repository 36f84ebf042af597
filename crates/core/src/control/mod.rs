//! Control state of one router process: membership, configuration, leaving back ends and the
//! node's own lifecycle, composed behind one entry.
//!
//! [`ControlState`] is owned by the control thread. The node and the simulator feed it
//! [`ControlEvent`]s and carry out its [`ControlAction`]s.

mod byte_allowance;
mod claims;
mod cluster;
mod configuration;
mod control_action;
mod control_event;
mod control_settings;
mod control_state;
mod director;
mod limits;
mod machine_entry;
mod machine_role;
mod machine_state;
mod object_key;
mod object_key_error;
mod object_prefix;
mod operation_id;
mod outbox;
mod peer_message;
mod precondition;
mod status_query;
mod store_answer;
mod store_call;
mod store_failure;
mod store_owner;
mod store_request_id;
mod store_revision;
mod store_value;
mod store_version;
mod stored_object;
mod watch_event;

pub(crate) use byte_allowance::ByteAllowance;
pub use claims::Claims;
pub use cluster::Cluster;
pub use configuration::Configuration;
pub use control_action::ControlAction;
pub use control_event::ControlEvent;
pub use control_settings::ControlSettings;
pub use control_state::ControlState;
pub use director::Director;
pub use limits::Limits;
pub use machine_entry::MachineEntry;
pub use machine_role::MachineRole;
pub use machine_state::MachineState;
pub use object_key::ObjectKey;
pub use object_key_error::ObjectKeyError;
pub use object_prefix::ObjectPrefix;
pub use operation_id::OperationId;
pub use outbox::Outbox;
pub use peer_message::PeerMessage;
pub use precondition::Precondition;
pub(crate) use status_query::StatusQuery;
pub use store_answer::StoreAnswer;
pub use store_call::StoreCall;
pub use store_failure::StoreFailure;
pub use store_owner::StoreOwner;
pub use store_request_id::StoreRequestId;
pub use store_revision::StoreRevision;
pub use store_value::StoreValue;
pub use store_version::StoreVersion;
pub use stored_object::StoredObject;
pub use watch_event::WatchEvent;
