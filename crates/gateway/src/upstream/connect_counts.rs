//! Outcomes of opening connections to engines.

use super::AttemptFailure;

/// Outcomes of opening connections to engines since they were last taken.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConnectCounts {
    /// Connections that came up.
    pub opened: u32,
    /// Attempts that the host refused or reset.
    pub refused: u32,
    /// Attempts without any response.
    pub timed_out: u32,
}

impl ConnectCounts {
    /// Counts a connection that came up, or an attempt that failed.
    pub(super) fn count(&mut self, failure: Option<&AttemptFailure>) {
        let counter = match failure {
            None => &mut self.opened,
            Some(AttemptFailure::NotConnected {
                is_timeout: true, ..
            }) => &mut self.timed_out,
            Some(_) => &mut self.refused,
        };
        *counter += 1;
    }

    /// Whether any attempt failed.
    pub fn has_failures(&self) -> bool {
        self.refused + self.timed_out > 0
    }
}
