//! Grants derived from the source rather than issued by a director.

use std::time::Duration;

use ryerouter_core::release::{Grant, Outcome, Stage};

use super::KnownOrder;
use crate::source::OrderedRelease;

/// The final grant of a release that has ended according to its record; `None` if it has not ended.
pub fn final_grant(known: &KnownOrder) -> Option<Grant> {
    let (stage, share) = match known.recorded()? {
        Outcome::Running => return None,
        Outcome::Completed => (Stage::Completed, 1.0),
        Outcome::RolledBack => (Stage::RolledBack, 0.0),
    };
    Some(recorded_grant(&known.release, stage, share))
}

/// The grant of an order for which no director has sent one yet; it allows no requests.
pub fn initial_grant(release: &OrderedRelease) -> Grant {
    recorded_grant(release, Stage::Trial, 0.0)
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
fn recorded_grant(release: &OrderedRelease, stage: Stage, share: f64) -> Grant {
    Grant {
        order: release.order.clone(),
        revision: release.revision,
        stage,
        share,
        window: None,
        fence: 0,
        number: 0,
        elapsed: Duration::ZERO,
    }
}
