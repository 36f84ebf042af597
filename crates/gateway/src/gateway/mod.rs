//! State of a gateway, shared by all its tasks.
//!
//! Terms used throughout:
//! - The *source* is the external store of the configuration, the engine list and the published
//!   versions of weights. Each node keeps a *replica* of these.
//! - In a *small* deployment every node sends its messages to all others and watches the source
//!   itself. In a *large* one, messages go to a selection of nodes, the nodes of a zone catch up
//!   with the zone's *reader*, and the readers with the first of all nodes, which watches the
//!   source.
//! - In a *wide* zone, which has too many nodes to message each other directly, the reader also
//!   gathers the loads of the zone's nodes and sends them the sums.
//! - A *full update* is a message to other nodes that also carries the member list and state that
//!   has been known for long.

mod admission;
mod backpressure;
mod cache_directory;
mod cache_events;
mod caller_ring;
mod callers;
mod configuration_transfer;
mod continuations;
mod ejections;
mod engine_incarnations;
mod engine_weights;
mod fill_exchange;
mod freshness;
mod gateway_settings;
mod gateway_state;
mod handover;
mod handover_state;
mod list_fill;
mod list_transfer;
mod need;
mod order_candidacy;
mod order_handover;
mod order_need;
mod order_turns;
mod outdated_engines;
mod peer_messages;
mod permit_issuing;
mod permits;
mod poison;
mod poison_records;
mod prefill_split;
mod published_weights;
mod readers;
mod readiness;
mod release_orders;
mod release_traffic;
mod release_updates;
mod releases;
mod replica_freshness;
mod restored_source;
mod shared;
mod silent_engines;
mod source_delays;
mod source_items;
mod source_log;
mod source_sync;
mod stalled_orders;
mod stream_handovers;
mod stream_records;
mod tenant_limits;
mod tunnels;
mod unmet_need;
mod unwritten_answers;
mod update_queue;
mod version_records;
mod version_witnesses;
mod zone_relay;

pub use caller_ring::{CallerLocation, CallerNode, CallerRing, draw_addresses};
pub use freshness::Freshness;
pub use gateway_settings::GatewaySettings;
pub use gateway_state::GatewayState;
pub use handover::Handover;
pub use handover_state::HandoverState;
pub use need::Need;
pub use order_need::OrderNeed;
pub(crate) use poison::LEAST_RUN_TIME;
pub use shared::{DatagramSender, Gateway};
pub(crate) use shared::{PEER_DISCOVERY_TIME, SIZE_DISCOVERY_TIME};
pub(crate) use source_log::Query;
pub use source_sync::Role;
pub use unmet_need::UnmetNeed;
pub(crate) use unwritten_answers::UnwrittenAnswer;
pub use zone_relay::Envelope;
