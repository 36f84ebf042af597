//! Selection of queued updates for a message to other nodes.

use std::collections::BTreeMap;

/// Takes at most `max` keys from the queue and lowers the remaining transmissions of each by
/// `transmissions`; keys with none left are removed.
pub(super) fn take_pending<K: Ord + Clone>(
    queue: &mut BTreeMap<K, u32>,
    max: usize,
    transmissions: u32,
) -> Vec<K> {
    let taken: Vec<_> = queue.keys().take(max).cloned().collect();
    for key in &taken {
        if let Some(remaining) = queue.get_mut(key) {
            *remaining = remaining.saturating_sub(transmissions);
        }
    }
    queue.retain(|_, remaining| *remaining > 0);
    taken
}

/// At most `max` elements of `all`; successive values of `rotation` select successive parts.
pub(super) fn rotating_part<K: Clone>(all: &[K], max: usize, rotation: usize) -> Vec<K> {
    let parts = all.len().div_ceil(max).max(1);
    let part = all.chunks(max).nth(rotation % parts);
    part.unwrap_or_default().to_vec()
}
