//! An order in which nodes are probed.

use rand::Rng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use crate::identity::NodeName;

/// An order in which nodes are probed: each once a round, in a new random order each round, so the
/// time until a failed node is probed is bounded.
#[derive(Debug, Clone, Default)]
pub struct TargetRing {
    names: Vec<NodeName>,
    next: usize,
}

impl TargetRing {
    /// Adds a node at a random point of the round.
    pub fn insert(&mut self, name: NodeName, random: &mut ChaCha8Rng) {
        let position = random.random_range(0..=self.names.len());
        self.names.insert(position, name);
    }

    /// Removes a node.
    pub fn remove(&mut self, name: &NodeName) {
        self.names.retain(|other| other != name);
    }

    /// The node to probe next.
    pub fn advance(&mut self, random: &mut ChaCha8Rng) -> Option<NodeName> {
        if self.next >= self.names.len() {
            self.names.shuffle(random);
            self.next = 0;
        }
        let name = self.names.get(self.next).cloned();
        self.next += 1;
        name
    }

    /// A random node.
    pub fn pick(&self, random: &mut ChaCha8Rng) -> Option<&NodeName> {
        if self.names.is_empty() {
            return None;
        }
        self.names.get(random.random_range(0..self.names.len()))
    }

    /// Its nodes, in no particular order.
    pub fn names(&self) -> &[NodeName] {
        &self.names
    }

    /// Whether it has no nodes.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}
