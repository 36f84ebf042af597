//! The prompt cut into nested prefixes.

mod block_hash;
mod prefix_block;
mod prefix_chain;

pub use block_hash::BlockHash;
pub use prefix_block::PrefixBlock;
pub use prefix_chain::PrefixChain;
