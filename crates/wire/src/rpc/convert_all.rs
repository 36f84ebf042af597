//! Converting lists.

use super::{FaultList, InvalidMessage};

/// Converts all messages that have no faults; adds the faults of the others.
pub fn convert_all<M, R>(messages: Vec<M>, faults: &mut FaultList) -> Vec<R>
where
    R: TryFrom<M, Error = InvalidMessage>,
{
    let mut resources = Vec::with_capacity(messages.len());
    for message in messages {
        match R::try_from(message) {
            Ok(resource) => resources.push(resource),
            Err(invalid) => faults.extend(invalid),
        }
    }
    resources
}
