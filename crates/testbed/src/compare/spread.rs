//! Several runs' values of one measure.

/// Median and extremes of one measure over several runs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Spread {
    /// The least value.
    pub least: f64,
    /// The middle value; the lower of two.
    pub median: f64,
    /// The greatest value.
    pub most: f64,
}

impl Spread {
    /// The spread of these values; all zero when there are none.
    pub fn of(values: impl IntoIterator<Item = f64>) -> Self {
        let mut values: Vec<f64> = values.into_iter().collect();
        values.sort_by(f64::total_cmp);
        let at = |index: usize| values.get(index).copied().unwrap_or_default();
        let last = values.len().saturating_sub(1);
        Self {
            least: at(0),
            median: at(last / 2),
            most: at(last),
        }
    }
}
