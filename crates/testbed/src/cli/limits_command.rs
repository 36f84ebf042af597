//! `ryebench limits`.

use gumdrop::Options;

use super::CommandError;
use crate::limits::{LimitsOptions, RunReport, run};

/// Compares ways to hold tenants' limits over many nodes.
#[derive(Debug, Options)]
pub struct LimitsCommand {
    /// Whether help was asked for.
    #[options(help = "print this help")]
    pub help: bool,
    /// Router nodes.
    #[options(help = "router nodes", meta = "N", default = "40")]
    pub nodes: usize,
    /// Tenants.
    #[options(help = "tenants", meta = "N", default = "20")]
    pub tenants: usize,
    /// Requests a second that each tenant may make.
    #[options(help = "requests a second of each tenant", meta = "N", default = "100")]
    pub limit: u64,
    /// Virtual seconds.
    #[options(help = "virtual seconds", meta = "S", default = "90")]
    pub seconds: u64,
    /// Seed of the run.
    #[options(help = "seed of the run", meta = "N", default = "1")]
    pub seed: u64,
    /// Prints one JSON array as the last line.
    #[options(help = "print one JSON array on the last line")]
    pub json: bool,
}

impl LimitsCommand {
    /// Makes the comparison.
    ///
    /// # Errors
    ///
    /// The report cannot be written.
    pub fn run(self) -> Result<(), CommandError> {
        if self.nodes == 0 || self.tenants == 0 || self.limit == 0 || self.seconds == 0 {
            let fault = "nodes, tenants, limit and seconds must be at least 1";
            return Err(CommandError::Failed(fault.to_owned()));
        }
        let reports = run(LimitsOptions {
            nodes: self.nodes,
            tenants: self.tenants,
            limit: self.limit,
            seconds: self.seconds,
            seed: self.seed,
        });
        print_table(&reports);
        if self.json {
            let line = serde_json::to_string(&reports)
                .map_err(|error| CommandError::Failed(error.to_string()))?;
            println!("{line}");
        }
        Ok(())
    }
}

fn print_table(reports: &[RunReport]) {
    println!(
        "{:12} {:14} {:>9} {:>17} {:>22} {:>17}",
        "load",
        "scheme",
        "requests",
        "false refusals %",
        "most in 10 s, % limit",
        "messages/s/node"
    );
    for report in reports {
        println!(
            "{:12} {:14} {:>9} {:>17.2} {:>22.1} {:>17.2}",
            report.load,
            report.scheme,
            report.requests,
            report.false_refusals_percent,
            report.most_in_ten_seconds_percent,
            report.messages_per_second_per_node
        );
    }
}
