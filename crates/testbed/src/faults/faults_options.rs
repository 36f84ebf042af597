//! Options of fault runs.

use super::NamedRun;
use crate::simulation::Mutation;

/// Options of fault runs.
#[derive(Debug, Clone, PartialEq)]
pub struct FaultsOptions {
    /// The runs to make.
    pub runs: Vec<NamedRun>,
    /// First seed.
    pub seed: u64,
    /// Seeds for each run.
    pub seeds: u64,
    /// Simulated hours of each run; 0 takes the usual five minutes.
    pub hours: f64,
    /// A deliberate mistake.
    pub mutation: Option<Mutation>,
    /// Runs at once.
    pub threads: usize,
}
