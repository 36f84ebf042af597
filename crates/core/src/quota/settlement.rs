//! Corrects what was charged by reported rates.

use std::time::Duration;

use super::Usage;
use super::account::REPORT_WINDOW;

/// Two totals belong to the same count if they differ by at most this many times what was asked for
/// meanwhile, by the higher of the two rates. Another node of a zone may have taken over its reports.
const MAX_PLAUSIBLE_FACTOR: f64 = 8.0;

/// Difference between what sources of reports admitted and what their reported rates amount to.
///
/// A rate is charged until the next report replaces it. Rates are averaged over less time than
/// reports take, and some reports are lost, so that a short surge is charged several times or not
/// at all. Totals in the reports tell the exact amount afterwards.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Settlement {
    /// Running sum of the differences; positive if more was admitted than charged.
    pub correction: f64,
}

impl Settlement {
    /// Takes in a report. The one before, if any, came from the same source, and its rate has been
    /// charged for `held`.
    pub fn add(&mut self, before: Option<&Usage>, report: &Usage, held: Duration) {
        let correction = match before {
            Some(before) => difference(before, report, held),
            // What was admitted shortly before the first report.
            None => report
                .total
                .map(|_| f64::from(report.admitted) * REPORT_WINDOW.as_secs_f64()),
        };
        self.correction += correction.unwrap_or(0.0);
    }
}

/// `None` if the reports have no totals or those of different counts.
fn difference(before: &Usage, report: &Usage, held: Duration) -> Option<f64> {
    let admitted = report.total?.wrapping_sub(before.total?).cast_signed();
    let admitted = f64::from(admitted);
    let asked = f64::from(before.asked.max(report.asked));
    let meanwhile = (held + REPORT_WINDOW).as_secs_f64();
    let is_plausible = admitted.abs() <= asked * meanwhile * MAX_PLAUSIBLE_FACTOR;
    is_plausible.then(|| admitted - f64::from(before.admitted) * held.as_secs_f64())
}
