//! Where a request runs: the engine with the least cost.

mod cache_feed;
mod cache_watch;
mod candidate_cost;
mod chooser;
mod chosen_engine;
mod division;
mod holder_table;
mod kv_store_watch;
mod kv_stores;
mod part_key;
mod placement_prices;
mod placement_request;
mod prompt;
mod prompt_version;
mod reading_demand;

pub use cache_feed::{CacheChange, CacheChanges, CacheFeed, Cursor};
pub use cache_watch::watch_caches;
pub use candidate_cost::CandidateCost;
pub use chooser::{Chooser, Failing};
pub use chosen_engine::{KvFetch, KvHolder, Placement};
pub use division::{Division, mostly_reads};
pub use holder_table::{HolderTable, store_holder_name};
pub use kv_store_watch::{KvStoreProbe, watch_kv_store};
pub use kv_stores::{KvStores, StoreChange};
pub use part_key::{PartKey, PromptKeys};
pub use placement_prices::PlacementPrices;
pub use placement_request::PlacementRequest;
pub use prompt::{Prompt, PromptPart};
pub use reading_demand::{ReadingDemand, ReadingNews};

use prompt_version::PromptVersion;

/// Fewest shared tokens that are worth saving to the store, and telling other nodes of.
const LEAST_SAVED_TOKENS: u32 = 256;
