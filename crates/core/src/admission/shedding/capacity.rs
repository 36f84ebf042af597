//! Capacity of a pool, learned from what its engines begin.

use std::time::Duration;

use super::Load;
use crate::Timestamp;

/// Time in which the estimate approaches the rate at which saturated engines begin work.
const LEARNING_TIME: Duration = Duration::from_millis(400);
/// Requests count as being refused for this time after the last refusal.
const SHEDDING_TIME: Duration = Duration::from_secs(1);
/// Growth per second while requests are refused although little waits.
const PROBING_GROWTH: f64 = 0.2;
/// The same while hardly anything waits, and below which saturation that is so.
const IDLE_GROWTH: f64 = 1.0;
const IDLE_SATURATION: f64 = 0.1;
/// Time in which the estimate returns to its initial value while nothing is refused.
const FORGETTING_TIME: Duration = Duration::from_secs(15);
/// Estimate relative to the nominal capacity before engines have been saturated. One that is too high is corrected as soon as
/// requests wait, one that is too low refuses requests in vain.
const INITIAL_FACTOR: f64 = 1.5;
/// Bounds of the estimate relative to the nominal capacity.
const MIN_FACTOR: f64 = 0.05;
const MAX_FACTOR: f64 = 4.0;
/// Engines that begin this share of the work asked for keep up with it. What waits there may only be in transfer, or is read
/// slowly; it is a queue when it is several times as much.
const KEEPS_UP_SHARE: f64 = 0.7;
const CLEAR_SATURATION: f64 = 4.0;
/// A pool is under pressure from this saturation on, and until it falls below the lower one.
const PRESSURE_BEGINS: f64 = 0.5;
const PRESSURE_ENDS: f64 = 0.25;

/// Capacity of a pool relative to its nominal capacity.
///
/// What engines begin per second is their capacity only while they are saturated. While requests are refused and little
/// waits, the estimate is too low and grows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Capacity {
    factor: f64,
    /// Nominal capacity at the last update.
    nominal: f64,
    refused_at: Option<Timestamp>,
    is_under_pressure: bool,
    updated_at: Option<Timestamp>,
}

impl Default for Capacity {
    fn default() -> Self {
        Self {
            factor: INITIAL_FACTOR,
            nominal: 0.0,
            refused_at: None,
            is_under_pressure: false,
            updated_at: None,
        }
    }
}

impl Capacity {
    /// Work per second that the engines can begin; `nominal` is the same for engines that are not hindered.
    pub fn per_second(&self, nominal: f64) -> f64 {
        self.factor * nominal
    }

    /// Whether so much work waits that the order in which engines begin it matters.
    pub fn is_under_pressure(&self) -> bool {
        self.is_under_pressure
    }

    /// Records that a request was refused.
    pub fn note_refusal(&mut self, now: Timestamp) {
        self.refused_at = Some(now);
    }

    /// Leaves the estimate as it is, since nothing can be learned now.
    pub fn pause(&mut self, now: Timestamp) {
        self.updated_at = Some(now);
    }

    /// Updates the estimate from the load at all nodes; called some times a second. Engines are saturated when as much
    /// work waits, besides the work `in_service` that they are about to begin, as they can begin in `saturated_wait`.
    pub fn update(
        &mut self,
        load: &Load,
        nominal: f64,
        in_service: f64,
        saturated_wait: Duration,
        now: Timestamp,
    ) {
        let before = self.updated_at.replace(now);
        let elapsed = before.map_or(Duration::ZERO, |at| now.since(at));
        let elapsed_s = elapsed.as_secs_f64();
        let is_shedding = self
            .refused_at
            .is_some_and(|at| now.since(at) < SHEDDING_TIME);
        self.adopt_nominal(nominal);
        let total = load.total();
        let max_waiting = self.per_second(nominal) * saturated_wait.as_secs_f64();
        let waiting = (total.waiting - in_service).max(0.0);
        let saturation = waiting / max_waiting.max(f64::MIN_POSITIVE);
        let threshold = match self.is_under_pressure {
            true => PRESSURE_ENDS,
            false => PRESSURE_BEGINS,
        };
        self.is_under_pressure = saturation >= threshold;
        let begun = total.begun / nominal.max(f64::MIN_POSITIVE);
        let keeps_up = total.begun >= total.asked * KEEPS_UP_SHARE;
        let limit = match keeps_up {
            true => CLEAR_SATURATION,
            false => 1.0,
        };
        if saturation >= limit {
            self.approach(begun, elapsed_s / LEARNING_TIME.as_secs_f64());
        } else if is_shedding {
            let growth = match saturation < IDLE_SATURATION {
                true => IDLE_GROWTH,
                false => PROBING_GROWTH,
            };
            let growth = growth * (1.0 - saturation).max(0.0);
            self.factor *= 1.0 + growth * elapsed_s;
        } else {
            self.approach(INITIAL_FACTOR, elapsed_s / FORGETTING_TIME.as_secs_f64());
        }
        self.factor = self.factor.clamp(MIN_FACTOR, MAX_FACTOR);
    }

    /// What has been learned doesn't change with the number of engines that are listed: those that are lost were learned as
    /// missing before they left the list, and must not count twice.
    fn adopt_nominal(&mut self, nominal: f64) {
        if self.nominal > 0.0 && self.factor < INITIAL_FACTOR {
            let learned = self.factor * self.nominal / nominal.max(f64::MIN_POSITIVE);
            self.factor = learned.min(INITIAL_FACTOR);
        }
        self.nominal = nominal;
    }

    fn approach(&mut self, value: f64, time_constants: f64) {
        self.factor += (value - self.factor) * (1.0 - (-time_constants).exp());
    }
}
