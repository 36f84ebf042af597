//! Why a demonstration failed.

use derive_more::{Display, Error, From};

use crate::cluster::ClusterError;
use crate::scenario::ScenarioError;

/// Why a demonstration failed to run.
#[derive(Debug, Display, Error, From)]
pub enum DemoError {
    /// The deployment failed.
    #[display("deployment: {_0}")]
    Cluster(ClusterError),
    /// The scenario cannot be used.
    #[display("scenario: {_0}")]
    Scenario(ScenarioError),
}
