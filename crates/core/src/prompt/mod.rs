//! Prompts as chains of nested prefixes.

mod block_hash;
mod prefix_block;
mod prefix_chain;
mod prefix_chain_builder;
mod prefix_salt;
mod prefix_sample;

pub use block_hash::BlockHash;
pub use prefix_block::PrefixBlock;
pub use prefix_chain::PrefixChain;
pub use prefix_chain_builder::{
    BLOCK_TOKENS, BYTES_PER_TOKEN, MESSAGE_OVERHEAD_TOKENS, PrefixChainBuilder,
};
pub use prefix_salt::PrefixSalt;
pub use prefix_sample::prefix_sample;
