//! The state of a gateway, shared by all its tasks.

mod cache_events;
mod cache_knowledge;
mod caller_ring;
mod callers;
mod copy_proofs;
mod dividing;
mod engine_lives;
mod engine_weights;
mod engines_behind;
mod gateway_settings;
mod gateway_state;
mod handover;
mod items;
mod list_handover;
mod named_weights;
mod order_candidacy;
mod peer_news;
mod proof_of_freshness;
mod reading;
mod release_intake;
mod release_news;
mod release_work;
mod releases;
mod shared;
mod source_log;
mod tenant_limits;
mod zone_relay;

pub use caller_ring::{CallerNode, CallerPlace, CallerRing, draw_addresses};
pub use gateway_settings::GatewaySettings;
pub use gateway_state::GatewayState;
pub use proof_of_freshness::ProofOfFreshness;
pub use reading::Role;
pub use shared::Gateway;
pub(crate) use shared::SETTLING;
pub(crate) use source_log::Way;
pub use zone_relay::Parcel;
