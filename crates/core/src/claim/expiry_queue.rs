//! Keys by the second in which they may be forgotten.

use std::collections::BTreeMap;

use super::KeyDigest;

/// Keys by the second in which they may be forgotten.
#[derive(Debug, Clone, Default)]
pub(super) struct ExpiryQueue {
    by_second: BTreeMap<u32, Vec<KeyDigest>>,
}

impl ExpiryQueue {
    pub fn push(&mut self, second: u32, digest: KeyDigest) {
        self.by_second.entry(second).or_default().push(digest);
    }

    /// Keys from `second` on, whole seconds together, at least `count` if there are as many; and
    /// the second where the rest begins.
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

    /// Takes the keys of one second that lies before `second`.
    pub fn pop_before(&mut self, second: u32) -> Option<Vec<KeyDigest>> {
        let entry = self.by_second.first_entry()?;
        (*entry.key() < second).then(|| entry.remove())
    }
}
