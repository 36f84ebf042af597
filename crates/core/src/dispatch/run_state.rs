//! Whether a request ran.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Whether a back end ran a request, as far as the router knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// The request certainly did not run and never will.
    #[display("not-run")]
    NotRun,
    /// The request ran, completely or in part.
    #[display("ran")]
    Ran,
    /// The request may have run.
    #[display("unknown")]
    Unknown,
}
