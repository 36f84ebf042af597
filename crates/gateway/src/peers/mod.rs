//! The other gateways: who they are, and what they tell.

mod capacity;
mod configuration_proof;
mod copy_proof;
mod datagram;
mod engine_news;
mod holder_news;
mod kv_store_news;
mod lease_news;
mod member_address;
mod node_identity;
mod node_state;
mod peer;
mod peer_link;
mod peer_message;
mod peer_table;
pub(crate) mod readable;
mod sent_times;
mod signal_news;
mod zone_news;
mod zone_traffic;

pub use capacity::Capacity;
pub use configuration_proof::{ConfigurationFreshness, MessageEcho};
pub use copy_proof::ReplicaFreshness;
pub use datagram::Datagram;
pub use engine_news::{
    EngineIncarnationUpdate, EngineLoadUpdate, NamedWeightsUpdate, WeightsUpdate,
};
pub use holder_news::HolderUpdate;
pub use kv_store_news::{KvStoreState, KvStoreUpdate};
pub use lease_news::LeaseUpdate;
pub use member_address::MemberAddress;
pub use node_identity::{NodeIdentity, new_incarnation};
pub use node_state::NodeState;
pub use peer::Peer;
pub use peer_link::run_peer_link;
pub use peer_message::PeerMessage;
pub use peer_table::PeerTable;
pub use sent_times::SentTimes;
pub use signal_news::SignalUpdate;
pub use zone_news::{Pass, ZoneUpdate};
pub use zone_traffic::ZoneTraffic;
