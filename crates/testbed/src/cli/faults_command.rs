//! `ryebench faults`.

use gumdrop::Options;

use super::CommandError;
use crate::faults::{
    FaultSummary, FaultsError, FaultsOptions, NAMED_RUNS, NamedRun, RunResult, run_faults,
};
use crate::simulation::MUTATIONS;

/// Violations printed for each run at most; the first ones tell most.
const PRINTED_VIOLATIONS: usize = 5;

/// Runs clusters on a virtual clock through named faults.
#[derive(Debug, Options)]
pub struct FaultsCommand {
    /// Whether help was asked for.
    #[options(help = "print this help")]
    pub help: bool,
    /// Names the runs and mutations instead of making runs.
    #[options(help = "name the fault runs and mutations, and end")]
    pub list: bool,
    /// Makes this run alone.
    #[options(help = "make this run alone", meta = "NAME")]
    pub only: Option<String>,
    /// Makes all runs, which is usual.
    #[options(help = "make all runs (usual)")]
    pub all: bool,
    /// First seed.
    #[options(help = "first seed", meta = "N", default = "1")]
    pub seed: u64,
    /// Seeds for each run.
    #[options(help = "seeds for each run", meta = "N", default = "1")]
    pub seeds: u64,
    /// Simulated hours of each run.
    #[options(
        help = "simulated hours of each run; 0 means five minutes",
        meta = "H",
        default = "0"
    )]
    pub hours: f64,
    /// A deliberate mistake.
    #[options(
        help = "make this mistake on purpose; the run must then fail",
        meta = "NAME"
    )]
    pub mutate: Option<String>,
    /// Runs at once.
    #[options(help = "runs at once", meta = "N", default = "4")]
    pub threads: usize,
    /// Prints one flat JSON object as the last line.
    #[options(help = "print the sums as one flat JSON object on the last line")]
    pub json: bool,
}

impl FaultsCommand {
    /// Makes the runs.
    ///
    /// # Errors
    ///
    /// An option cannot be used, or a promise was broken.
    pub fn run(self) -> Result<(), CommandError> {
        if self.list {
            list();
            return Ok(());
        }
        let options = self.options().map_err(bad_option)?;
        let mut summary = FaultSummary::default();
        run_faults(&options, |result| {
            summary.add(result);
            print_result(result);
        })
        .map_err(bad_option)?;
        print_summary(&summary, self.json)?;
        if summary.violations == 0 {
            Ok(())
        } else {
            Err(CommandError::BrokenPromise(format!(
                "{} violations",
                summary.violations
            )))
        }
    }

    fn options(&self) -> Result<FaultsOptions, FaultsError> {
        let runs = match &self.only {
            Some(name) => vec![name.parse::<NamedRun>()?],
            None => NAMED_RUNS.to_vec(),
        };
        let mutation = self.mutate.as_deref().map(str::parse).transpose()?;
        Ok(FaultsOptions {
            runs,
            seed: self.seed,
            seeds: self.seeds,
            hours: self.hours,
            mutation,
            threads: self.threads,
        })
    }
}

/// Prints the sums: one flat JSON object, or a line for each sum.
fn print_summary(summary: &FaultSummary, json: bool) -> Result<(), CommandError> {
    let failed = |error: serde_json::Error| CommandError::Failed(error.to_string());
    let value = serde_json::to_value(summary).map_err(failed)?;
    if json {
        println!("{value}");
        return Ok(());
    }
    for (name, sum) in value.as_object().into_iter().flatten() {
        println!("{name:>24}  {sum}");
    }
    Ok(())
}

fn bad_option(error: FaultsError) -> CommandError {
    CommandError::Failed(error.to_string())
}

fn list() {
    println!("Fault runs:");
    for run in NAMED_RUNS {
        println!("  {run}");
    }
    println!("Mutations:");
    for mutation in MUTATIONS {
        println!("  {mutation}");
    }
}

fn print_result(result: &RunResult) {
    let counters = &result.outcome.counters;
    println!(
        "run={} seed={} violations={} requests={} completed={} refused_not_run={} \
         refused_ran_or_unknown={} lost_with_node={} resumed={} changes_accepted={} \
         changes_refused={} faults={} trace_hash={:016x}",
        result.run,
        result.seed,
        result.outcome.violations.len(),
        counters.requests,
        counters.completed,
        counters.refused_not_run,
        counters.refused_ran_or_unknown,
        counters.lost_with_node,
        counters.resumed,
        counters.changes_accepted,
        counters.changes_refused,
        counters.faults,
        result.outcome.trace_hash,
    );
    for violation in result.outcome.violations.iter().take(PRINTED_VIOLATIONS) {
        println!("  violation {violation}");
    }
}
