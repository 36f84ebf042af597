//! `ryebench demo`.

use gumdrop::Options;

use super::CommandError;
use super::cluster_arguments::cluster_options;
use crate::demo::{DemoOptions, DemoReport, run_demo};

/// Runs a deployment over real sockets and checks every answer.
#[derive(Debug, Options)]
pub struct DemoCommand {
    /// Whether help was asked for.
    #[options(help = "print this help")]
    pub help: bool,
    /// Seed of everything random.
    #[options(help = "seed of everything random (default 1)", default = "1")]
    pub seed: u64,
    /// Requests to send.
    #[options(help = "requests to send (default 600)", default = "600")]
    pub requests: usize,
    /// Whether everything fails meanwhile.
    #[options(
        help = "meanwhile kill and stop nodes, crash engines, spoil streams, trouble the platform",
        no_short
    )]
    pub chaos: bool,
    /// Whether one JSON object follows the table.
    #[options(help = "print one flat JSON object as the last line", no_short)]
    pub json: bool,
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

impl DemoCommand {
    /// Runs the demonstration.
    ///
    /// # Errors
    ///
    /// It cannot run, or a promise was broken.
    pub fn run(self) -> Result<(), CommandError> {
        let options = DemoOptions {
            cluster: cluster_options(&self.scenario, self.seed, self.log)?,
            requests: self.requests,
            chaos: self.chaos,
        };
        let runtime = tokio::runtime::Runtime::new()?;
        let report = runtime.block_on(run_demo(&options));
        let report = report.map_err(|error| CommandError::Failed(error.to_string()))?;
        self.print(&report);
        if report.broken_promises == 0 {
            return Ok(());
        }
        let count = report.broken_promises;
        Err(CommandError::BrokenPromise(format!("{count} found")))
    }

    fn print(&self, report: &DemoReport) {
        println!("{}", report.table());
        if self.json {
            let line = serde_json::to_string(report).expect("a report is plain data");
            println!("{line}");
        }
    }
}
