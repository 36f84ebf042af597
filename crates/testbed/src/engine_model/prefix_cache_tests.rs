//! Tests of the prefix cache.

use ryerouter_core::prompt::BlockHash;

use super::PrefixCache;

fn hash(number: u64) -> BlockHash {
    BlockHash(number)
}

#[test]
fn parent_outlives_child() {
    let mut cache = PrefixCache::default();
    cache.insert_pinned(hash(1), None, 10);
    cache.insert_pinned(hash(2), Some(hash(1)), 20);
    cache.unpin(hash(2));
    cache.unpin(hash(1));
    assert_eq!(cache.evict_one(), Some((hash(2), 20)));
    assert_eq!(cache.evict_one(), Some((hash(1), 10)));
    assert_eq!(cache.evict_one(), None);
    assert_eq!(cache.total_tokens(), 0);
}

#[test]
fn pinned_block_is_not_evicted() {
    let mut cache = PrefixCache::default();
    cache.insert_pinned(hash(1), None, 10);
    assert_eq!(cache.evict_one(), None);
    cache.pin(hash(1));
    cache.unpin(hash(1));
    assert_eq!(cache.evict_one(), None);
    cache.unpin(hash(1));
    assert_eq!(cache.evict_one(), Some((hash(1), 10)));
}

#[test]
fn least_recently_used_goes_first() {
    let mut cache = PrefixCache::default();
    for number in 1..=3 {
        cache.insert_pinned(hash(number), None, 10);
        cache.unpin(hash(number));
    }
    cache.pin(hash(1));
    cache.unpin(hash(1));
    assert_eq!(cache.evict_one(), Some((hash(2), 10)));
    assert_eq!(cache.evict_one(), Some((hash(3), 10)));
    assert_eq!(cache.evict_one(), Some((hash(1), 10)));
}
