//! Why a release is rolled back.

use derive_more::Display;

use super::{RouteKey, Tally};

/// Why a release is rolled back, with the figures that decided it.
#[derive(Debug, Clone, PartialEq, Display)]
pub enum Rollback {
    /// The target version does worse than the present one.
    #[display(
        "worse on {}: target {} failed and {} slow of {}, present {} and {} of {}, score {score:.1}",
        route.map_or("all routes".to_owned(), |route| format!("route {route:08x}")),
        target.failed, target.slow, target.answers, present.failed, present.slow, present.answers
    )]
    Worse {
        /// The route where it does; all of them without.
        route: Option<RouteKey>,
        /// Its answers.
        target: Tally,
        /// The present version's.
        present: Tally,
        /// Logarithm of how much more likely the answers are if it is worse.
        score: f64,
    },
    /// It was not seen to do as well in time.
    #[display("unproven: {} answers of the target version in {waited:?}", target.answers)]
    Unproven {
        /// Its answers.
        target: Tally,
        /// How long the trial had gone on.
        waited: std::time::Duration,
    },
}
