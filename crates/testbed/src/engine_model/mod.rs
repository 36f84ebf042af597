//! A model of one inference engine: continuous batching with chunked prefill, a prefix cache in
//! limited memory, priorities, cancellation, KV import and export, incarnations and weights.
//!
//! [`EngineModel`] is a pure state machine. It takes an [`EngineEvent`] and the current time,
//! appends [`EngineOutput`]s and says when it next wants to be woken, so a virtual clock and a real
//! one drive the same code. The time model is stated at [`EngineProfile`].

mod cached_block;
mod engine;
mod engine_event;
mod engine_output;
mod engine_profile;
mod engine_request;
mod engine_status;
mod imported_prefix;
mod prefix_cache;
mod promotion;
mod sequence;
mod step;
mod waiting_queue;
mod waiting_request;
mod weight_store_model;

#[cfg(test)]
mod engine_tests;
#[cfg(test)]
mod prefix_cache_tests;
#[cfg(test)]
mod weight_store_model_tests;

pub use engine::EngineModel;
pub use engine_event::EngineEvent;
pub use engine_output::EngineOutput;
pub use engine_profile::EngineProfile;
pub use engine_request::EngineRequest;
pub use engine_status::EngineStatus;
pub use imported_prefix::ImportedPrefix;
pub use prefix_cache::PrefixCache;
pub use weight_store_model::WeightStoreModel;
