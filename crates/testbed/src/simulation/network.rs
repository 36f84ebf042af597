//! The simulated network.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::{Endpoint, Location, NetworkConditions, NetworkCut};

/// Decides when messages arrive, and whether.
pub struct Network {
    conditions: NetworkConditions,
    locations: BTreeMap<Endpoint, Location>,
    /// Cuts in force, counted, since the same cut may be ordered twice at once.
    cuts: BTreeMap<NetworkCut, u32>,
    random: ChaCha8Rng,
}

impl Network {
    /// A network without cuts.
    pub fn new(
        conditions: NetworkConditions,
        locations: BTreeMap<Endpoint, Location>,
        random: ChaCha8Rng,
    ) -> Self {
        Self {
            conditions,
            locations,
            cuts: BTreeMap::new(),
            random,
        }
    }

    /// Replaces the conditions.
    pub fn set_conditions(&mut self, conditions: NetworkConditions) {
        self.conditions = conditions;
    }

    /// Puts a cut in force.
    pub fn cut(&mut self, cut: NetworkCut) {
        *self.cuts.entry(cut).or_default() += 1;
    }

    /// Takes back a cut that was put in force.
    pub fn heal(&mut self, cut: NetworkCut) {
        if let Some(count) = self.cuts.get_mut(&cut) {
            *count -= 1;
            if *count == 0 {
                self.cuts.remove(&cut);
            }
        }
    }

    /// Whether a cut may keep `endpoint` from learning what others know: one of its own links, its
    /// zone, or the zone of the platform.
    pub fn touches(&self, endpoint: Endpoint) -> bool {
        let zone = self.location(endpoint).zone;
        let platform_zone = self.location(Endpoint::Platform).zone;
        self.cuts.keys().any(|cut| match cut {
            NetworkCut::OneWay { from, to } => *from == endpoint || *to == endpoint,
            NetworkCut::Zone(cut_zone) => *cut_zone == zone || *cut_zone == platform_zone,
            NetworkCut::Regions => true,
            NetworkCut::Platform => endpoint == Endpoint::Platform,
        })
    }

    /// Whether messages from one party to another pass.
    pub fn passes(&self, from: Endpoint, to: Endpoint) -> bool {
        let sender = (from, self.location(from));
        let receiver = (to, self.location(to));
        !self.cuts.keys().any(|cut| cut.stops(sender, receiver))
    }

    /// Delays after which copies of a datagram arrive: none when lost, two when duplicated.
    pub fn datagram(&mut self, from: Endpoint, to: Endpoint) -> Vec<Duration> {
        if !self.passes(from, to) || self.random.random_bool(self.conditions.datagram_loss) {
            return Vec::new();
        }
        let mut delays = vec![self.delay(from, to)];
        if self
            .random
            .random_bool(self.conditions.datagram_duplication)
        {
            delays.push(self.delay(from, to));
        }
        delays
    }

    /// Delay after which bytes on a connection arrive; `None` when the path is cut.
    pub fn stream(&mut self, from: Endpoint, to: Endpoint) -> Option<Duration> {
        self.passes(from, to).then(|| self.delay(from, to))
    }

    fn location(&self, endpoint: Endpoint) -> Location {
        self.locations[&endpoint]
    }

    fn delay(&mut self, from: Endpoint, to: Endpoint) -> Duration {
        let sender = self.location(from);
        let receiver = self.location(to);
        let base = if sender.region != receiver.region {
            self.conditions.wide_area_delay
        } else if sender.zone != receiver.zone {
            self.conditions.region_delay
        } else {
            self.conditions.zone_delay
        };
        let jitter_us = self.conditions.jitter.as_micros() as u64;
        base + Duration::from_micros(self.random.random_range(0..=jitter_us))
    }
}
