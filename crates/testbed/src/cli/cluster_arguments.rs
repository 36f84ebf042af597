//! What commands that start a deployment have in common.

use ryerouter_node::logging::{LevelSwitch, discarding_logger, logger};
use ryerouter_settings::LogLevel;

use super::CommandError;
use crate::cluster::ClusterOptions;
use crate::scenario::Scenario;

/// Traffic threads of each node of a deployment in one process.
const TRAFFIC_THREADS: usize = 1;

/// Options of the deployment that the command line names.
///
/// # Errors
///
/// The scenario cannot be used.
pub fn cluster_options(
    scenario: &str,
    seed: u64,
    log: bool,
) -> Result<ClusterOptions, CommandError> {
    let loaded = Scenario::load(scenario).map_err(|error| CommandError::BadOption {
        option: "scenario",
        value: scenario.to_owned(),
        reason: format!("cannot be used: {error}"),
    })?;
    let level = LevelSwitch::new(LogLevel::Info);
    let logger = if log {
        logger(std::io::stderr(), &level)
    } else {
        discarding_logger()
    };
    Ok(ClusterOptions {
        scenario: loaded,
        seed,
        traffic_threads: TRAFFIC_THREADS,
        logger,
        level,
    })
}
