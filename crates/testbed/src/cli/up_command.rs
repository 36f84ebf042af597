//! `ryebench up`.

use gumdrop::Options;

use super::CommandError;
use super::cluster_arguments::cluster_options;
use super::stop_signal::StopSignal;
use crate::cluster::Cluster;
use crate::up::directions;

/// Keeps a deployment running over real sockets.
#[derive(Debug, Options)]
pub struct UpCommand {
    /// Whether help was asked for.
    #[options(help = "print this help")]
    pub help: bool,
    /// Seed of everything random.
    #[options(help = "seed of everything random (default 1)", default = "1")]
    pub seed: u64,
    /// The scenario.
    #[options(
        help = "blue-mahoe, callaghan or a scenario file (default blue-mahoe)",
        default = "blue-mahoe"
    )]
    pub scenario: String,
    /// Whether nodes log.
    #[options(help = "write the nodes' logs to standard error", no_short)]
    pub log: bool,
}

impl UpCommand {
    /// Runs until SIGINT or SIGTERM, then stops as planned.
    ///
    /// # Errors
    ///
    /// The deployment cannot start.
    pub fn run(self) -> Result<(), CommandError> {
        let runtime = tokio::runtime::Runtime::new()?;
        runtime.block_on(self.serve())
    }

    async fn serve(self) -> Result<(), CommandError> {
        // Before anything starts, so that an early signal also ends in a planned stop.
        let mut stop_signal = StopSignal::new()?;
        let options = cluster_options(&self.scenario, self.seed, self.log)?;
        let cluster = Cluster::start(&options).await;
        let cluster = cluster.map_err(|error| CommandError::Failed(error.to_string()))?;
        println!("{}", directions(&options.scenario, &cluster));
        stop_signal.wait().await;
        println!("stopping: requests in progress are finished");
        cluster.stop().await;
        Ok(())
    }
}
