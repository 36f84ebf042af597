//! `ryebench scale`.

use gumdrop::Options;

use super::CommandError;
use crate::scale::{self, ScaleOptions, ScaleReport};

/// Runs the control plane of many nodes on a virtual clock and measures it.
#[derive(Debug, Options)]
pub struct ScaleCommand {
    /// Whether help was asked for.
    #[options(help = "print this help")]
    pub help: bool,
    /// Router nodes.
    #[options(help = "router nodes", meta = "N", default = "680")]
    pub nodes: u64,
    /// Engines in the configuration.
    #[options(help = "engines in the configuration", meta = "N", default = "5500")]
    pub engines: u64,
    /// Seed of the run.
    #[options(help = "seed of the run", meta = "N", default = "1")]
    pub seed: u64,
    /// Virtual seconds that are measured.
    #[options(help = "virtual seconds to measure", meta = "S", default = "600")]
    pub seconds: u64,
    /// Requests a second over all nodes.
    #[options(
        help = "requests a second over all nodes, for their tickets and claims only",
        meta = "N",
        default = "0"
    )]
    pub requests_per_second: u64,
    /// Thousandths of requests that must run at most once.
    #[options(
        help = "thousandths of the requests that must run at most once",
        meta = "N",
        default = "20"
    )]
    pub marked_permille: u64,
    /// Prints one flat JSON object as the last line.
    #[options(help = "print one flat JSON object on the last line")]
    pub json: bool,
}

impl ScaleCommand {
    /// Makes the run.
    ///
    /// # Errors
    ///
    /// An option cannot be used, or the run failed.
    pub fn run(self) -> Result<(), CommandError> {
        let options = ScaleOptions {
            nodes: self.nodes,
            engines: self.engines,
            seed: self.seed,
            seconds: self.seconds,
            requests_per_second: self.requests_per_second,
            marked_permille: self.marked_permille,
        };
        let report =
            scale::run(options).map_err(|error| CommandError::Failed(error.to_string()))?;
        print_table(&report)?;
        if self.json {
            let line = serde_json::to_string(&report)
                .map_err(|error| CommandError::Failed(error.to_string()))?;
            println!("{line}");
        }
        Ok(())
    }
}

fn print_table(report: &ScaleReport) -> Result<(), CommandError> {
    let value =
        serde_json::to_value(report).map_err(|error| CommandError::Failed(error.to_string()))?;
    for (name, figure) in value.as_object().into_iter().flatten() {
        println!("{name:45} {figure}");
    }
    Ok(())
}
