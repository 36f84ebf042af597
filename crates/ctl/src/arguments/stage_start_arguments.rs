//! Options of `stage start`.

use gumdrop::Options;

use super::WriteArguments;

/// Creates a stage and moves traffic, step by step if --step is given.
#[derive(Debug, Clone, Options)]
pub struct StageStartArguments {
    /// Print help.
    #[options(help = "print help")]
    pub help: bool,
    /// Name of the stage.
    #[options(free, required, help = "name of the stage")]
    pub name: String,
    /// The pool.
    #[options(no_short, required, meta = "POOL", help = "pool that moves (required)")]
    pub pool: String,
    /// The tenant.
    #[options(no_short, meta = "TENANT", help = "the only tenant that moves (all)")]
    pub tenant: Option<String>,
    /// The source.
    #[options(
        no_short,
        required,
        meta = "DATA-CENTRE",
        help = "data centre that gives up traffic (required)"
    )]
    pub from: String,
    /// The target.
    #[options(
        no_short,
        required,
        meta = "DATA-CENTRE",
        help = "data centre that takes traffic (required)"
    )]
    pub to: String,
    /// The share.
    #[options(
        no_short,
        required,
        meta = "PERMILLE",
        help = "final share of the target"
    )]
    pub share: u32,
    /// Step.
    #[options(
        no_short,
        meta = "PERMILLE",
        help = "thousandths by which the share rises at once"
    )]
    pub step: Option<u32>,
    /// Hold.
    #[options(no_short, meta = "SECONDS", help = "seconds each step is held")]
    pub hold_seconds: Option<u32>,
    /// Rollback bound.
    #[options(
        no_short,
        meta = "MS",
        help = "roll back above this p99 of the first token"
    )]
    pub max_first_token_p99_ms: Option<u32>,
    /// Rollback bound.
    #[options(
        no_short,
        meta = "PERMILLE",
        help = "roll back above this share of failed requests"
    )]
    pub max_error_permille: Option<u32>,
    /// Rollback bound.
    #[options(
        no_short,
        meta = "PERMILLE",
        help = "roll back below this prefix hit rate"
    )]
    pub min_hit_rate_permille: Option<u32>,
    /// Identifies the change.
    #[options(
        no_short,
        meta = "ID",
        help = "change id, to settle a lost answer (a fresh one)"
    )]
    pub change_id: Option<String>,
    /// Only check.
    #[options(no_short, help = "check the change without making it")]
    pub dry_run: bool,
    /// Wait.
    #[options(no_short, help = "wait until the change is in force on every node")]
    pub wait: bool,
}

impl StageStartArguments {
    /// How to write.
    pub fn write(&self) -> WriteArguments {
        WriteArguments {
            change_id: self.change_id.clone(),
            dry_run: self.dry_run,
            wait: self.wait,
        }
    }
}
