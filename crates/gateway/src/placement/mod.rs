//! Selects the engine that runs a request: the one with the lowest cost.

mod cache_feed;
mod cache_watch;
mod candidate_cost;
mod chooser;
mod chosen_engine;
mod holder_table;
mod kv_store_watch;
mod kv_stores;
mod part_key;
mod placement_prices;
mod placement_request;
mod prefill_demand;
mod prefill_split;
mod prompt;
mod prompt_for_weights;
mod source_delays;

pub use cache_feed::{CacheChange, CacheChanges, CacheFeed, Cursor};
pub use cache_watch::watch_caches;
pub use candidate_cost::CandidateCost;
pub use chooser::{Chooser, UnhealthyEngines};
pub use chosen_engine::{KvFetch, KvHolder, Placement};
pub use holder_table::{HolderTable, store_holder_name};
pub use kv_store_watch::{KvStoreProbe, watch_kv_store};
pub use kv_stores::{KvStores, StoreChange};
pub use part_key::{PartKey, PromptKeys};
pub use placement_prices::PlacementPrices;
pub use placement_request::PlacementRequest;
pub use prefill_demand::{PrefillDemand, PrefillDemandUpdate};
pub use prefill_split::{PrefillSplit, is_prefill_heavy};
pub use prompt::{Prompt, PromptPart};
pub use source_delays::{DelayChange, DelayEstimate, FirstToken, SourceDelayUpdate, SourceDelays};

use prompt_for_weights::PromptForWeights;

/// Minimum number of shared prompt tokens for which a prefix is saved to the KV store and announced
/// to other nodes.
const MIN_SAVED_TOKENS: u32 = 256;
