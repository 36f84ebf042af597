//! Stand-in for the store of kept KV cache.

mod handler;
mod kept_prefix;
mod kv_store;

pub use kept_prefix::KeptPrefix;
pub use kv_store::KvStore;
