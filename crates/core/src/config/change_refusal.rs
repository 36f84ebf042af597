//! Why a change is refused.

use derive_more::{Display, Error};

use crate::identity::{ChangeId, ConfigVersion, ResourceVersion};

use super::{Expectation, ResourceReference, ValidationError};

/// Why a change is refused. Unless `outcome unknown` is said, it has not taken effect and won't.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum ChangeRefusal {
    /// The change has faults; all are listed.
    #[display("invalid change: {} faults, first {}", faults.len(), faults.first().map(ToString::to_string).unwrap_or_default())]
    Invalid {
        /// The faults.
        faults: Vec<ValidationError>,
    },
    /// Another change came first.
    #[display(
        "{resource} is at version {actual:?}, not {expected:?}: changed by {author} with {change_id:?}"
    )]
    Stale {
        /// The resource.
        resource: ResourceReference,
        /// What the operator expected.
        expected: Expectation,
        /// Its version; `None` when it does not exist.
        actual: Option<ResourceVersion>,
        /// Who changed it last, if still known.
        author: String,
        /// The change that did, if still known.
        change_id: Option<ChangeId>,
    },
    /// The same change id was used before for something else.
    #[display("change id was used at version {version} for another change")]
    ChangeIdReused {
        /// Version of that change.
        version: ConfigVersion,
    },
    /// The object API can't be reached and nothing was written.
    #[display("object API unavailable, not written: {detail}")]
    StoreUnavailable {
        /// What the API's client said.
        detail: String,
    },
    /// The object API does not say whether the change was written; ask again with the same change
    /// id to settle it.
    #[display("outcome unknown, repeat with the same change id: {detail}")]
    OutcomeUnknown {
        /// What the API's client said.
        detail: String,
    },
    /// This node has no configuration yet, or is stopping.
    #[display("node is {phase}, not written")]
    NotServing {
        /// Its phase.
        phase: crate::lifecycle::NodePhase,
    },
}
