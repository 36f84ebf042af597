//! Grants derived from the source rather than issued by a director.

use std::time::Duration;

use ryerouter_core::release::{Grant, Outcome, RejectedVersions, Stage};

use super::KnownOrder;
use crate::source::OrderedRelease;

/// The final grant of a release that has ended according to its record; `None` if it has not ended.
pub fn final_grant(known: &KnownOrder) -> Option<Grant> {
    let (stage, share) = match known.recorded()? {
        Outcome::Running => return None,
        Outcome::Completed => (Stage::Completed, 1.0),
        Outcome::RolledBack => (Stage::RolledBack, 0.0),
    };
    let rejected = recorded_rejections(&known.release, true);
    Some(recorded_grant(&known.release, stage, share, rejected))
}

/// The grant of an order for which no director has sent one yet; it allows no requests. `knows_former` tells whether this
/// node knows the pool's release of before.
pub fn initial_grant(release: &OrderedRelease, knows_former: bool) -> Grant {
    let rejected = recorded_rejections(release, knows_former);
    recorded_grant(release, Stage::Trial, 0.0, rejected)
}

/// The other versions that were rejected according to the record of an order. A record that names another target belongs
/// to a former order. If that had not ended, its target may have been under trial, and only a node that knows the
/// former release can tell that it was proven.
pub fn recorded_rejections(release: &OrderedRelease, knows_former: bool) -> RejectedVersions {
    let Some(record) = &release.record else {
        return RejectedVersions::default();
    };
    let mut rejected = record.rejected.clone();
    let is_rejected = match record.outcome {
        Outcome::RolledBack => true,
        Outcome::Running => !knows_former,
        Outcome::Completed => false,
    };
    if is_rejected {
        rejected.insert(record.target.clone());
    }
    rejected.remove(&release.order.target);
    rejected
}

/// The final grant of a release whose order is no longer in the source.
pub fn withdrawn_grant(grant: &Grant) -> Grant {
    Grant {
        stage: Stage::Withdrawn,
        share: 0.0,
        window: None,
        ..grant.clone()
    }
}

/// A grant with fence and number zero. Each grant of a director supersedes it, as a director's numbers begin above
/// zero.
fn recorded_grant(
    release: &OrderedRelease,
    stage: Stage,
    share: f64,
    rejected: RejectedVersions,
) -> Grant {
    Grant {
        order: release.order.clone(),
        revision: release.revision,
        stage,
        share,
        window: None,
        fence: 0,
        number: 0,
        elapsed: Duration::ZERO,
        rejected,
    }
}
