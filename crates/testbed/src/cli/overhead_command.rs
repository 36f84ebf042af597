//! `ryebench overhead`.

use std::time::Duration;

use gumdrop::Options;

use super::CommandError;
use crate::overhead::{OverheadOptions, run_overhead};

/// Measures what one node adds against back ends asked directly.
#[derive(Debug, Options)]
pub struct OverheadCommand {
    /// Whether help was asked for.
    #[options(help = "print this help")]
    pub help: bool,
    /// Streams at once.
    #[options(help = "streams at once (default 1000)", default = "1000")]
    pub streams: usize,
    /// Length of each part.
    #[options(help = "seconds of each part (default 6)", default = "6")]
    pub seconds: u64,
    /// Time between chunks.
    #[options(
        help = "milliseconds between chunks of a stream (default 31)",
        default = "31"
    )]
    pub interval: u64,
    /// Traffic threads of the node.
    #[options(help = "traffic threads of the node (default 1)", default = "1")]
    pub threads: usize,
    /// Idle streams.
    #[options(
        help = "streams held idle for the memory part (default 1000)",
        default = "1000",
        no_short
    )]
    pub idle: usize,
    /// Whether one JSON object follows the table.
    #[options(help = "print one flat JSON object as the last line", no_short)]
    pub json: bool,
}

impl OverheadCommand {
    /// Measures.
    ///
    /// # Errors
    ///
    /// It cannot run, or an option has a value that cannot be used.
    pub fn run(self) -> Result<(), CommandError> {
        for (option, value) in [("streams", self.streams), ("idle", self.idle)] {
            check_above_zero(option, value as u64)?;
        }
        check_above_zero("seconds", self.seconds)?;
        check_above_zero("interval", self.interval)?;
        check_above_zero("threads", self.threads as u64)?;
        if cfg!(debug_assertions) {
            eprintln!("ryebench: this is a debug build; its figures say nothing of a release");
        }
        let options = OverheadOptions {
            streams: self.streams,
            part: Duration::from_secs(self.seconds),
            chunk_interval: Duration::from_millis(self.interval),
            traffic_threads: self.threads,
            idle_streams: self.idle,
        };
        let report = run_overhead(options);
        let report = report.map_err(|error| CommandError::Failed(error.to_string()))?;
        println!("{}", report.table(&options));
        if self.json {
            let line = serde_json::to_string(&report).expect("a report is plain data");
            println!("{line}");
        }
        Ok(())
    }
}

fn check_above_zero(option: &'static str, value: u64) -> Result<(), CommandError> {
    if value > 0 {
        return Ok(());
    }
    Err(CommandError::BadOption {
        option,
        value: value.to_string(),
        reason: "must be above 0".to_owned(),
    })
}
