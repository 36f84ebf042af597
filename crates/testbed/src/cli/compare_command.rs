//! `ryebench compare`.

use std::sync::Arc;

use gumdrop::Options;

use super::CommandError;
use crate::compare::{
    ComparisonOptions, ComparisonSummary, Policy, compare, print_ablation, print_ratios,
    print_table, vary,
};
use crate::scenario::Scenario;

/// Compares dispatch policies on a virtual clock.
#[derive(Debug, Options)]
pub struct CompareCommand {
    /// Whether help was asked for.
    #[options(help = "print this help")]
    pub help: bool,
    /// The scenario.
    #[options(
        help = "blue-mahoe, callaghan or a scenario file",
        meta = "NAME|FILE",
        default = "blue-mahoe"
    )]
    pub scenario: String,
    /// First seed.
    #[options(help = "first seed", meta = "N", default = "1")]
    pub seed: u64,
    /// Seeds.
    #[options(help = "seeds to run, one after the other", meta = "N", default = "1")]
    pub seeds: u64,
    /// Factor of all rates of arrival.
    #[options(help = "multiply all rates of arrival", meta = "FACTOR", default = "1")]
    pub load: f64,
    /// Measures what each mechanism of the dispatcher is worth instead.
    #[options(help = "switch each mechanism of the dispatcher off in turn instead")]
    pub vary: bool,
    /// Prints one flat JSON object for each seed.
    #[options(help = "end with each seed's result as one flat JSON object on a line")]
    pub json: bool,
}

impl CompareCommand {
    /// Makes the comparison.
    ///
    /// # Errors
    ///
    /// The scenario cannot be read or used.
    pub fn run(self) -> Result<(), CommandError> {
        if !(self.load > 0.0 && self.load.is_finite()) {
            return Err(CommandError::BadOption {
                option: "load",
                value: self.load.to_string(),
                reason: "must be above 0".to_owned(),
            });
        }
        let scenario = Scenario::load(&self.scenario)
            .map_err(|error| CommandError::Failed(error.to_string()))?;
        let scenario = Arc::new(scenario.with_load(self.load));
        let seeds: Vec<u64> = (self.seed..).take(self.seeds as usize).collect();
        if self.vary {
            print_ablation(&scenario.name, seeds.len(), &vary(&scenario, &seeds));
            return Ok(());
        }
        let mut summaries = Vec::new();
        for seed in seeds {
            summaries.push(run_seed(&scenario, seed)?);
        }
        if summaries.len() > 1 {
            print_ratios(&summaries);
        }
        if self.json {
            for summary in &summaries {
                print_json(summary)?;
            }
        }
        Ok(())
    }
}

fn run_seed(scenario: &Arc<Scenario>, seed: u64) -> Result<ComparisonSummary, CommandError> {
    let options = ComparisonOptions {
        seed,
        ..ComparisonOptions::default()
    };
    let comparison = compare(scenario, &Policy::ALL, &options);
    print_table(&comparison);
    ComparisonSummary::new(&comparison)
        .ok_or_else(|| CommandError::Failed("a policy is missing".to_owned()))
}

fn print_json(summary: &ComparisonSummary) -> Result<(), CommandError> {
    let line =
        serde_json::to_string(summary).map_err(|error| CommandError::Failed(error.to_string()))?;
    println!("{line}");
    Ok(())
}
