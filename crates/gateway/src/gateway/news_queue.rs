//! News that wait to be told to other nodes.

use std::collections::BTreeMap;

/// Takes at most `most` of the news that wait, each to be told `tellings` times less from now on.
pub(super) fn take_news<K: Ord + Clone>(
    waiting: &mut BTreeMap<K, u32>,
    most: usize,
    tellings: u32,
) -> Vec<K> {
    let told: Vec<_> = waiting.keys().take(most).cloned().collect();
    for key in &told {
        if let Some(left) = waiting.get_mut(key) {
            *left = left.saturating_sub(tellings);
        }
    }
    waiting.retain(|_, left| *left > 0);
    told
}

/// At most `most` of all, others with each turn.
pub(super) fn part_of_turn<K: Clone>(all: &[K], most: usize, turn: usize) -> Vec<K> {
    let parts = all.len().div_ceil(most).max(1);
    let of_turn = all.chunks(most).nth(turn % parts);
    of_turn.unwrap_or_default().to_vec()
}
