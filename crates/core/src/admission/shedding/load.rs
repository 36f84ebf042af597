//! Load of a pool by urgency.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Duration;

use super::{Outlook, Urgency, Usage};

/// Part of its proportional share of the engines that each urgency keeps, however much is asked for more urgently.
const RESERVED_SHARE: f64 = 0.1;

/// Longest time for which work may wait at the rate at which a node's work begins, in seconds. What waits beyond that is held
/// where it can't begin.
const MAX_DRAIN_S: f64 = 10.0;

/// Load of a pool by urgency.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Load {
    usages: BTreeMap<Urgency, Usage>,
}

impl Load {
    /// Adds usage of one urgency.
    pub fn add(&mut self, urgency: Urgency, usage: Usage) {
        self.usages.entry(urgency).or_default().add(usage);
    }

    /// Replaces the work asked for of one urgency.
    pub(super) fn set_asked(&mut self, urgency: Urgency, asked: f64) {
        self.usages.entry(urgency).or_default().asked = asked;
    }

    /// Adds all usage of another load.
    pub fn add_all(&mut self, other: &Self) {
        for (urgency, usage) in other.iter() {
            self.add(urgency, usage);
        }
    }

    /// The part of the load of one node that takes up capacity of the engines. Work that a node can't begin, since it reaches
    /// no engine or since its engines hang, is no queue that the work of other nodes would meet.
    pub fn effective(&self) -> Self {
        let total = self.total();
        let drained = total.begun * MAX_DRAIN_S;
        let share = match total.waiting > drained {
            true => drained / total.waiting,
            false => 1.0,
        };
        let usages = self.iter();
        let usages = usages.map(|(urgency, usage)| (urgency, usage.held_back(share)));
        Self {
            usages: usages.collect(),
        }
    }

    /// The load of this many nodes like the ones summed up here.
    pub fn times(&self, nodes: usize) -> Self {
        let usages = self.iter();
        let usages = usages.map(|(urgency, usage)| (urgency, usage.times(nodes)));
        Self {
            usages: usages.collect(),
        }
    }

    /// Usage by urgency, the most urgent first.
    pub fn iter(&self) -> impl Iterator<Item = (Urgency, Usage)> {
        self.usages
            .iter()
            .map(|(urgency, usage)| (*urgency, *usage))
    }

    /// Usage of all urgencies together.
    pub fn total(&self) -> Usage {
        let mut total = Usage::default();
        self.iter().for_each(|(_, usage)| total.add(usage));
        total
    }

    /// What a request of this urgency meets, if it may wait for `max_wait`. `capacity` is the work per second that the
    /// engines can begin.
    pub fn outlook(&self, urgency: Urgency, capacity: f64, max_wait: Duration) -> Outlook {
        let all_asked = self.total().asked.max(f64::MIN_POSITIVE);
        let reserved = |asked: f64| RESERVED_SHARE * capacity * asked / all_asked;
        let mut outlook = Outlook {
            max_wait,
            ..Outlook::default()
        };
        let mut available = capacity;
        for (of_kind, usage) in self.iter() {
            match of_kind.cmp(&urgency) {
                Ordering::Less => available -= usage.begun,
                Ordering::Equal => outlook.asked = usage.asked,
                Ordering::Greater => available -= reserved(usage.asked),
            }
            if of_kind <= urgency {
                outlook.waiting += usage.waiting;
            }
        }
        outlook.capacity = available.max(reserved(outlook.asked));
        outlook
    }
}
