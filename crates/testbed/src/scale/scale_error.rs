//! Why a run at scale failed.

use derive_more::{Display, Error};

/// Why a run at scale failed.
#[derive(Debug, Display, Error)]
pub enum ScaleError {
    /// An option has a value that can't be used.
    #[display("option --{option}: {value} {reason}")]
    BadOption {
        /// Name of the option.
        option: &'static str,
        /// The value given.
        value: u64,
        /// Why it can't be used.
        reason: &'static str,
    },
    /// The operating system does not tell what this process uses.
    #[display("can't read {file}: {detail}")]
    ResourceUse {
        /// The file asked.
        file: &'static str,
        /// What is wrong.
        detail: String,
    },
    /// The simulation stopped early.
    #[display("the simulation stopped early")]
    Simulation,
}
