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

    /// Takes the keys of one second that lies before `second`.
    pub fn pop_before(&mut self, second: u32) -> Option<Vec<KeyDigest>> {
        let entry = self.by_second.first_entry()?;
        (*entry.key() < second).then(|| entry.remove())
    }
}
