//! Why fault runs can't be made.

use derive_more::{Display, Error, From};

use super::UnknownRun;
use crate::simulation::UnknownMutation;

/// Why fault runs can't be made.
#[derive(Debug, Clone, PartialEq, Display, Error, From)]
pub enum FaultsError {
    /// No such run.
    UnknownRun(UnknownRun),
    /// No such mutation.
    UnknownMutation(UnknownMutation),
    /// A number is out of range.
    #[display("{field} = {value}: must be {range}")]
    #[from(skip)]
    OutOfRange {
        /// The option.
        field: &'static str,
        /// Its value.
        value: String,
        /// What it may be.
        range: &'static str,
    },
}
