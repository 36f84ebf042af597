//! The result of placement.

use std::net::SocketAddr;

use derive_more::Display;
use ryerouter_core::identity::{BackEndName, Incarnation};
use ryerouter_core::release::SoftwareVersion;

use super::{CandidateCost, Prompt, PromptKeys};
use crate::catalogue::CacheScope;

/// Source from which KV cache can be fetched.
#[derive(Debug, Clone, PartialEq, Display)]
pub enum KvHolder {
    /// An engine.
    #[display("{_0}")]
    Engine(BackEndName),
    /// The KV store, which has the prefix or may have it.
    #[display("store")]
    Store,
}

/// A prefix that the engine fetches from another engine or the KV store before it prefills the rest
/// of the prompt.
#[derive(Debug, Clone, PartialEq)]
pub struct KvFetch {
    /// Source of the prefix.
    pub holder: KvHolder,
    /// Address of the source.
    pub address: SocketAddr,
    /// Number of tokens that the source holds beyond those of the chosen engine.
    pub tokens: u32,
}

/// The engine chosen for a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// Name of the engine.
    pub engine: BackEndName,
    /// Incarnation of the engine at the time of the choice.
    pub incarnation: Option<Incarnation>,
    /// Version of the engine's software; it never changes within an incarnation.
    pub software: SoftwareVersion,
    /// Address of the engine.
    pub address: SocketAddr,
    /// Version of the weights that the engine is expected to have; `None` for plain services.
    pub weights: Option<u64>,
    /// Salt of the prompt's keys, which separates cached prefixes that must not be shared.
    pub salt: Option<String>,
    /// Keys of the prompt's parts under that salt.
    pub keys: PromptKeys,
    /// Number of prompt tokens expected in the engine's cache.
    pub cached_tokens: u32,
    /// Estimated number of prompt tokens that the engine must prefill.
    pub unread_tokens: u32,
    /// Prefix to fetch before prefill.
    pub fetch: Option<KvFetch>,
    /// KV store to which the engine should save the shared parts.
    pub save_to: Option<SocketAddr>,
    /// Cost of the choice, by component.
    pub cost: CandidateCost,
}

impl Placement {
    /// Places the prompt in another cache scope, in which nothing is known to be cached. Changes nothing in its own.
    pub fn move_to_scope(&mut self, prompt: &Prompt, scope: &CacheScope) {
        let salt = self.weights.map(|weights| scope.salt(weights));
        if salt == self.salt {
            return;
        }
        self.keys = salt
            .as_deref()
            .map_or_else(PromptKeys::default, |salt| prompt.keys(salt));
        self.salt = salt;
        self.cached_tokens = 0;
        self.unread_tokens = prompt.prompt_tokens.max(1);
        self.fetch = None;
    }
}
