//! `ryebench compare`.

use std::sync::Arc;

use gumdrop::Options;

use super::CommandError;
use crate::compare::{ComparisonOptions, ComparisonSummary, Policy, compare, print_table};
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
    /// Prints one flat JSON object for each seed.
    #[options(help = "print each seed's result as one flat JSON object on a line")]
    pub json: bool,
}

impl CompareCommand {
    /// Makes the comparison.
    ///
    /// # Errors
    ///
    /// The scenario cannot be read or used.
    pub fn run(self) -> Result<(), CommandError> {
        let scenario = Scenario::load(&self.scenario)
            .map_err(|error| CommandError::Failed(error.to_string()))?;
        let scenario = Arc::new(scenario);
        for seed in self.seed..self.seed + self.seeds {
            self.run_seed(&scenario, seed)?;
        }
        Ok(())
    }

    fn run_seed(&self, scenario: &Arc<Scenario>, seed: u64) -> Result<(), CommandError> {
        let options = ComparisonOptions {
            seed,
            ..ComparisonOptions::default()
        };
        let comparison = compare(scenario, &Policy::ALL, &options);
        print_table(&comparison);
        if self.json {
            let summary = ComparisonSummary::new(&comparison)
                .ok_or_else(|| CommandError::Failed("a policy is missing".to_owned()))?;
            let line = serde_json::to_string(&summary)
                .map_err(|error| CommandError::Failed(error.to_string()))?;
            println!("{line}");
        }
        Ok(())
    }
}
