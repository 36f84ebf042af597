//! A change that an operator asks for.

use ryerouter_core::config::{Change, Mutation};
use ryerouter_core::identity::ChangeId;

use crate::generated::v1;

use super::{FaultList, InvalidMessage};

const MAX_CHANGE_ID_LENGTH: usize = 128;
const MAX_AUTHOR_LENGTH: usize = 128;

/// A change that an operator asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestedChange {
    /// The change.
    pub change: Change,
    /// Whether it is only checked.
    pub dry_run: bool,
}

impl RequestedChange {
    /// A change of one write. `options.expected_version` must already be in `mutation`.
    pub fn of_mutation(
        mutation: Mutation,
        options: v1::WriteOptions,
    ) -> Result<Self, InvalidMessage> {
        let request = v1::ApplyRequest {
            mutations: Vec::new(),
            change_id: options.change_id,
            dry_run: options.dry_run,
            author: options.author,
        };
        Self::new(vec![mutation], request, "options.")
    }

    fn new(
        mutations: Vec<Mutation>,
        request: v1::ApplyRequest,
        path: &str,
    ) -> Result<Self, InvalidMessage> {
        let mut faults = FaultList::default();
        check_change_id(&format!("{path}change_id"), &request.change_id, &mut faults);
        if request.author.len() > MAX_AUTHOR_LENGTH {
            let reason = format!("at most {MAX_AUTHOR_LENGTH} bytes");
            faults.add(&format!("{path}author"), &request.author, reason);
        }
        faults.finish(Self {
            change: Change {
                change_id: ChangeId::new(request.change_id),
                author: request.author,
                mutations,
            },
            dry_run: request.dry_run,
        })
    }
}

impl From<&RequestedChange> for v1::ApplyRequest {
    fn from(requested: &RequestedChange) -> Self {
        Self {
            mutations: requested.change.mutations.iter().map(Into::into).collect(),
            change_id: requested.change.change_id.to_string(),
            dry_run: requested.dry_run,
            author: requested.change.author.clone(),
        }
    }
}

impl TryFrom<v1::ApplyRequest> for RequestedChange {
    type Error = InvalidMessage;

    fn try_from(mut request: v1::ApplyRequest) -> Result<Self, InvalidMessage> {
        let mut faults = FaultList::default();
        let mut mutations = Vec::with_capacity(request.mutations.len());
        for message in std::mem::take(&mut request.mutations) {
            match Mutation::try_from(message) {
                Ok(mutation) => mutations.push(mutation),
                Err(invalid) => faults.extend(invalid),
            }
        }
        match Self::new(mutations, request, "") {
            Ok(requested) => faults.finish(requested),
            Err(invalid) => {
                faults.extend(invalid);
                Err(faults.into())
            }
        }
    }
}

fn check_change_id(field: &str, change_id: &str, faults: &mut FaultList) {
    if change_id.is_empty() {
        faults.add(field, "\"\"", "must not be empty; it settles lost answers");
    } else if change_id.len() > MAX_CHANGE_ID_LENGTH {
        let reason = format!("at most {MAX_CHANGE_ID_LENGTH} bytes");
        faults.add(field, change_id, reason);
    }
}
