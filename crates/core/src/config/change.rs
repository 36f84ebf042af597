//! An operator's change.

use serde::{Deserialize, Serialize};

use crate::identity::ChangeId;

use super::Mutation;

/// An operator's change; all its mutations take effect at one version or none does.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Given by the operator's client, the same in each retry.
    pub change_id: ChangeId,
    /// Who wants it.
    pub author: String,
    /// What it does, in order.
    pub mutations: Vec<Mutation>,
}
