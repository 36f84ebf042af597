//! Reason for a rollback.

use derive_more::Display;

use super::{RouteKey, Tally};

/// Reason for a rollback, with the figures that led to it.
#[derive(Debug, Clone, PartialEq, Display)]
pub enum Rollback {
    /// The target version does worse than the present one.
    #[display(
        "worse on {}: target {} failed and {} slow of {}, present {} and {} of {}, score {score:.1}",
        route.map_or("all routes".to_owned(), |route| format!("route {route:08x}")),
        target.failed, target.slow, target.answers, present.failed, present.slow, present.answers
    )]
    Worse {
        /// The route on which it does worse; `None` for all routes together.
        route: Option<RouteKey>,
        /// Answers of the target version.
        target: Tally,
        /// Answers of the present version.
        present: Tally,
        /// Logarithm of the likelihood ratio of the answers: a worse version against an equally
        /// good one.
        score: f64,
    },
    /// The target version was not shown to be as good within the time limit.
    #[display("unproven: {} answers of the target version in {waited:?}", target.answers)]
    Unproven {
        /// Answers of the target version.
        target: Tally,
        /// Time since the release began.
        waited: std::time::Duration,
    },
}
