//! Salt of prefix hashes.

use xxhash_rust::xxh3::Xxh3;

use crate::identity::{AdapterName, ModelName, TenantName, WeightsVersion};

/// What separates cache entries: prompts with different salts never share a prefix hash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefixSalt<'a> {
    /// The tenant that sent the request.
    pub tenant: &'a TenantName,
    /// The model.
    pub model: &'a ModelName,
    /// The weights that compute the cache entries.
    pub weights_version: WeightsVersion,
    /// The adapter, if the request names one.
    pub adapter: Option<&'a AdapterName>,
}

impl PrefixSalt<'_> {
    /// The hash from which every chain with this salt starts.
    pub(super) fn hash(&self) -> u64 {
        let mut hasher = Xxh3::new();
        update_delimited(&mut hasher, self.tenant.as_str());
        update_delimited(&mut hasher, self.model.as_str());
        hasher.update(&self.weights_version.0.to_le_bytes());
        // An absent adapter and an adapter with an empty name must differ.
        hasher.update(&[u8::from(self.adapter.is_some())]);
        update_delimited(&mut hasher, self.adapter.map_or("", AdapterName::as_str));
        hasher.digest()
    }
}

/// Hashes a text after its length, so that no two sequences of texts hash the same bytes.
fn update_delimited(hasher: &mut Xxh3, text: &str) {
    hasher.update(&(text.len() as u64).to_le_bytes());
    hasher.update(text.as_bytes());
}
