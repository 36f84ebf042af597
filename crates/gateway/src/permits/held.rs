//! Permits of one engine that this node holds.

use std::collections::BTreeMap;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::Incarnation;
use ryerouter_core::permit::Number;

/// An engine drops a request whose connection was closed within this time.
const ABANDONED_TIME: Duration = Duration::from_millis(300);

/// Permits of one incarnation of an engine that this node holds.
#[derive(Debug, Default)]
pub struct Held {
    incarnation: Option<Incarnation>,
    /// Until when a permit is held although its request was given up; `None` while the request is in progress.
    permits: BTreeMap<Number, Option<Timestamp>>,
}

impl Held {
    /// Adds a permit. Those of another incarnation are void.
    pub fn add(&mut self, number: Number, incarnation: Option<Incarnation>) {
        if self.incarnation != incarnation {
            self.permits.clear();
            self.incarnation = incarnation;
        }
        self.permits.insert(number, None);
    }

    /// Removes a permit; `false` when it is void.
    pub fn remove(&mut self, number: Number) -> bool {
        self.permits.remove(&number).is_some()
    }

    /// Keeps the permit of a request that was given up for as long as the engine may still run the request.
    pub fn abandon(&mut self, number: Number, now: Timestamp) {
        if let Some(until) = self.permits.get_mut(&number) {
            *until = Some(now.after(ABANDONED_TIME));
        }
    }

    /// Removes and returns the permits of requests that were given up long enough ago.
    pub fn take_abandoned(&mut self, now: Timestamp) -> Vec<Number> {
        let is_due = |_: &Number, until: &mut Option<Timestamp>| until.is_some_and(|at| now >= at);
        let due = self.permits.extract_if(.., is_due);
        due.map(|(number, _)| number).collect()
    }

    /// Numbers of all permits.
    pub fn numbers(&self) -> Vec<Number> {
        self.permits.keys().copied().collect()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.permits.is_empty()
    }
}
