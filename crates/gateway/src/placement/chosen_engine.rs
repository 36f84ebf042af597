//! A chosen engine.

use std::net::SocketAddr;

use derive_more::Display;
use ryerouter_core::identity::{BackEndName, Incarnation};

use super::{CandidateCost, PromptKeys};

/// Who holds KV cache that can be fetched.
#[derive(Debug, Clone, PartialEq, Display)]
pub enum KvHolder {
    /// An engine.
    #[display("{_0}")]
    Engine(BackEndName),
    /// The store of kept KV cache, which has it, or may have it.
    #[display("store")]
    Store,
}

/// A prefix to fetch from another engine before the prompt is read.
#[derive(Debug, Clone, PartialEq)]
pub struct KvFetch {
    /// Who holds it.
    pub holder: KvHolder,
    /// Where that listens.
    pub address: SocketAddr,
    /// Tokens that it holds beyond those of the chosen engine.
    pub tokens: u32,
}

/// A chosen engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// The engine.
    pub engine: BackEndName,
    /// Which of its lives it was chosen in.
    pub incarnation: Option<Incarnation>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Version of the weights that it is expected to have; `None` for plain services.
    pub weights: Option<u64>,
    /// Separates cached prefixes.
    pub salt: Option<String>,
    /// Keys of the prompt's prefixes under that salt.
    pub keys: PromptKeys,
    /// Tokens expected in its cache.
    pub cached_tokens: u32,
    /// Tokens that it has to read (estimate).
    pub unread_tokens: u32,
    /// Fetched before.
    pub fetch: Option<KvFetch>,
    /// The store of kept KV cache that its shared parts should be saved to.
    pub save_to: Option<SocketAddr>,
    /// Why it was chosen.
    pub cost: CandidateCost,
}
