//! Receipts of writes.

use ryerouter_core::config::ChangeAccepted;
use ryerouter_core::identity::ChangeId;

use crate::generated::v1;

/// What the operator is told of an accepted change.
pub fn write_receipt(change_id: &ChangeId, accepted: ChangeAccepted) -> v1::WriteReceipt {
    v1::WriteReceipt {
        config_version: accepted.version.0,
        change_id: change_id.to_string(),
        already_made: accepted.repeated,
        dry_run: accepted.dry_run,
    }
}
