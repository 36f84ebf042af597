//! Change ids and authors.

use ryerouter_wire::generated::v1;

/// Where the changes of one invocation come from.
#[derive(Debug, Clone)]
pub struct ChangeSource {
    /// The change id, the same in every try.
    pub change_id: String,
    /// Who makes the change.
    pub author: String,
    /// Whether the change is only checked.
    pub dry_run: bool,
}

impl ChangeSource {
    /// Takes the given change id, or a fresh one.
    pub fn new(change_id: Option<String>, author: String, dry_run: bool) -> Self {
        Self {
            change_id: change_id.unwrap_or_else(fresh_change_id),
            author,
            dry_run,
        }
    }

    /// Options of a write based on `expected_version`.
    pub fn options(&self, expected_version: u64) -> v1::WriteOptions {
        v1::WriteOptions {
            expected_version,
            change_id: self.change_id.clone(),
            dry_run: self.dry_run,
            author: self.author.clone(),
        }
    }
}

fn fresh_change_id() -> String {
    hex::encode(rand::random::<[u8; 16]>())
}
