//! Steps of a change.

use serde::{Deserialize, Serialize};

use super::{Expectation, Resource, ResourceReference};

/// One step of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mutation {
    /// Create or replace a resource. Its `version` field is ignored.
    Put {
        /// The resource.
        resource: Resource,
        /// What must hold before.
        #[serde(default)]
        expected: Expectation,
    },
    /// Delete a resource that exists.
    Delete {
        /// The resource.
        reference: ResourceReference,
        /// What must hold before.
        #[serde(default)]
        expected: Expectation,
    },
}

impl Mutation {
    /// The resource it is about.
    pub fn reference(&self) -> ResourceReference {
        match self {
            Self::Put { resource, .. } => resource.reference(),
            Self::Delete { reference, .. } => reference.clone(),
        }
    }

    /// What must hold before.
    pub fn expected(&self) -> Expectation {
        match self {
            Self::Put { expected, .. } | Self::Delete { expected, .. } => *expected,
        }
    }
}
