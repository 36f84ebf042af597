//! Requests that end the engines that run them.

mod digest;

pub use digest::{Digest, UnreadableDigest};
