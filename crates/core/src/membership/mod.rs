//! Which router processes are there: gossip with constant cost a node.

mod cluster_status;
mod gossip_kind;
mod gossip_message;
mod leaving_record;
mod member_record;
mod member_state;
mod node_location;
mod node_status;
mod sync_message;

pub use cluster_status::ClusterStatus;
pub use gossip_kind::GossipKind;
pub use gossip_message::GossipMessage;
pub use leaving_record::LeavingRecord;
pub use member_record::MemberRecord;
pub use member_state::MemberState;
pub use node_location::NodeLocation;
pub use node_status::NodeStatus;
pub use sync_message::SyncMessage;
