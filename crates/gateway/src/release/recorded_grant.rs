//! Grants that come from the source and not from a director.

use std::time::Duration;

use ryerouter_core::release::{Grant, Outcome, Stage};

use super::KnownOrder;
use crate::source::OrderedRelease;

/// What the record of an order that has come to its end allows, for good.
pub fn final_grant(known: &KnownOrder) -> Option<Grant> {
    let (stage, share) = match known.recorded()? {
        Outcome::Running => return None,
        Outcome::Completed => (Stage::Completed, 1.0),
        Outcome::RolledBack => (Stage::RolledBack, 0.0),
    };
    Some(recorded_grant(&known.release, stage, share))
}

/// An order of whose director nothing was heard yet allows nothing.
pub fn initial_grant(release: &OrderedRelease) -> Grant {
    recorded_grant(release, Stage::Trial, 0.0)
}

/// The end of a release whose order is not in the source any more.
pub fn withdrawn_grant(grant: &Grant) -> Grant {
    Grant {
        stage: Stage::Withdrawn,
        share: 0.0,
        window: None,
        ..grant.clone()
    }
}

/// Any grant of a director comes after it, as its numbers begin above zero.
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
