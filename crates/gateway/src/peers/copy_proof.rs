//! Proofs that the copy of a kind of item is current, passed between nodes.

use serde::{Deserialize, Serialize};

use crate::source::ItemKind;

/// The sender knows that items of a kind have not changed since a revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Fields", into = "Fields")]
pub struct ReplicaFreshness {
    /// The kind.
    pub kind: ItemKind,
    /// Nothing changed after this revision of the source; a copy that is as far has all of it.
    pub changed_until: u64,
    /// How long before the message that was certainly so, in milliseconds.
    pub age_ms: u64,
}

/// The fields in order, since bytes between zones are dear.
type Fields = (ItemKind, u64, u64);

impl From<Fields> for ReplicaFreshness {
    fn from((kind, changed_until, age_ms): Fields) -> Self {
        Self {
            kind,
            changed_until,
            age_ms,
        }
    }
}

impl From<ReplicaFreshness> for Fields {
    fn from(proof: ReplicaFreshness) -> Self {
        (proof.kind, proof.changed_until, proof.age_ms)
    }
}
