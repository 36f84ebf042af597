//! Latency to data centres.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::identity::DataCentreName;

/// Weight of a sample above the estimate. It is small, so that the minimum rises slowly when the
/// network path becomes longer.
const RISE_WEIGHT: f64 = 0.02;

/// Estimates how much longer the round trip to other data centres is than within this process's own
/// data centre, from the times between requests and the heads of their responses.
///
/// Each data centre keeps a slowly rising minimum. Only differences count, so it does not matter
/// whether engines send the head at once or with the first token.
#[derive(Debug, Clone)]
pub struct DataCentreLatency {
    own: DataCentreName,
    assumed: Duration,
    head_seconds: BTreeMap<DataCentreName, f64>,
}

impl DataCentreLatency {
    /// Assumes the latency `assumed` for other data centres until it has been measured.
    pub fn new(own: DataCentreName, assumed: Duration) -> Self {
        Self {
            own,
            assumed,
            head_seconds: BTreeMap::new(),
        }
    }

    /// Records the time after which the head of a response from this data centre arrived.
    pub fn observe(&mut self, data_centre: &DataCentreName, head_after: Duration) {
        let sample = head_after.as_secs_f64();
        let Some(known) = self.head_seconds.get_mut(data_centre) else {
            self.head_seconds.insert(data_centre.clone(), sample);
            return;
        };
        if sample < *known {
            *known = sample;
        } else {
            *known += RISE_WEIGHT * (sample - *known);
        }
    }

    /// How much longer the round trip to this data centre is than within the own data centre.
    pub fn to(&self, data_centre: &DataCentreName) -> Duration {
        if *data_centre == self.own {
            return Duration::ZERO;
        }
        let own = self.head_seconds.get(&self.own);
        let other = self.head_seconds.get(data_centre);
        match (own, other) {
            (Some(own), Some(other)) => Duration::from_secs_f64((other - own).max(0.0)),
            _ => self.assumed,
        }
    }
}
