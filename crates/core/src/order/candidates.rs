//! Which processes try to hold a lease.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::identity::NodeName;

/// Processes that try to hold a lease: few, because the object API bears few readers, and more
/// than one, so that another takes over when the holder dies.
const CANDIDATES: usize = 3;

/// Whether `own` is among the candidates for the lease called `lease`, given all nodes alive.
///
/// Nodes that see other members may differ; the lease itself decides who holds it.
pub fn is_candidate<'a>(
    own: &NodeName,
    lease: &str,
    alive: impl IntoIterator<Item = &'a NodeName>,
) -> bool {
    let seed = xxh3_64_with_seed(lease.as_bytes(), 0);
    let order = |name: &NodeName| xxh3_64_with_seed(name.as_str().as_bytes(), seed);
    let own_order = order(own);
    let before = alive
        .into_iter()
        .filter(|name| *name != own && order(name) < own_order)
        .count();
    before < CANDIDATES
}
