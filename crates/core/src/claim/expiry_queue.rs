//! Keys by the second in which their claims expire.

use std::collections::BTreeMap;

use super::KeyDigest;

/// Keys by the second in which their claims expire.
#[derive(Debug, Clone, Default)]
pub(super) struct ExpiryQueue {
    by_second: BTreeMap<u32, Vec<KeyDigest>>,
}

impl ExpiryQueue {
    pub fn push(&mut self, second: u32, digest: KeyDigest) {
        self.by_second.entry(second).or_default().push(digest);
    }

    /// Keys whose claims expire in `second` or later, and the second from which to continue; `None`
    /// if there are no further keys. Ends after the second with which `count` keys are reached, so
    /// the keys of one second are never split.
    pub fn from(&self, second: u32, count: usize) -> (Vec<(u32, KeyDigest)>, Option<u32>) {
        let mut keys = Vec::new();
        for (second, digests) in self.by_second.range(second..) {
            if keys.len() >= count {
                return (keys, Some(*second));
            }
            keys.extend(digests.iter().map(|digest| (*second, *digest)));
        }
        (keys, None)
    }

    /// Removes and returns the keys of the earliest second, if it lies before `second`.
    pub fn pop_before(&mut self, second: u32) -> Option<Vec<KeyDigest>> {
        let entry = self.by_second.first_entry()?;
        (*entry.key() < second).then(|| entry.remove())
    }
}
