//! Which back end should serve a prompt: a deterministic order of candidates that is the same in
//! every process, refined by what responses report about caches and queues.

mod cache_directory;
mod cache_epoch;
mod cache_hit_estimate;
mod candidate_order;
mod data_centre_latency;
mod data_centre_preference;
mod decayed_rate;
mod engine_key;
mod fixed_hasher;
mod generational_map;
mod holder;
mod placement_point;
mod placement_points;
mod pool_index;
mod pool_member;
mod prefill_speed;
mod prefix_request_rates;
mod prefix_width;
mod rendezvous;
mod retention;

pub use cache_directory::CacheDirectory;
pub use cache_epoch::CacheEpoch;
pub use cache_hit_estimate::CacheHitEstimate;
pub use candidate_order::CandidateOrder;
pub use data_centre_latency::DataCentreLatency;
pub use data_centre_preference::{DataCentrePreference, preferred_data_centre};
pub use decayed_rate::DecayedRate;
pub use engine_key::EngineKey;
pub use generational_map::GenerationalMap;
pub use holder::Holder;
pub use placement_point::PlacementPoint;
pub use placement_points::PlacementPoints;
pub use pool_index::PoolIndex;
pub use pool_member::PoolMember;
pub use prefill_speed::PrefillSpeed;
pub use prefix_request_rates::PrefixRequestRates;
pub use prefix_width::PrefixWidth;
pub use rendezvous::{name_hash, rendezvous_score};
pub use retention::Retention;
