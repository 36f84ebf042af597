//! What is known of whether a request ran.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// What is known of whether a back end ran a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// It certainly did not run and never will.
    #[display("not-run")]
    NotRun,
    /// It ran, wholly or in part.
    #[display("ran")]
    Ran,
    /// It may have run.
    #[display("unknown")]
    Unknown,
}
