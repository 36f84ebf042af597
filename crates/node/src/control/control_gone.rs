//! The control thread has ended, because the process is stopping.

use derive_more::{Display, Error};

/// The control thread has ended, because the process is stopping.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("the control thread has ended")]
pub struct ControlGone;
