//! A consistent hash ring.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Points of each engine on the ring.
const POINTS: u64 = 160;

/// A consistent hash ring over numbered engines.
#[derive(Debug)]
pub(super) struct HashRing {
    points: Vec<(u64, usize)>,
}

impl HashRing {
    /// A ring of engines 0 to `engines`, exclusive.
    pub fn new(engines: usize) -> Self {
        let mut points: Vec<(u64, usize)> = (0..engines)
            .flat_map(|engine| {
                let bytes = (engine as u64).to_le_bytes();
                (0..POINTS).map(move |point| (xxh3_64_with_seed(&bytes, point), engine))
            })
            .collect();
        points.sort_unstable();
        Self { points }
    }

    /// The first of `candidates` at or after the key's place.
    pub fn find(&self, key: u64, candidates: &[usize]) -> Option<usize> {
        let place = xxh3_64_with_seed(&key.to_le_bytes(), 0);
        let start = self.points.partition_point(|(point, _)| *point < place);
        let after = self.points[start..].iter();
        let mut in_order = after.chain(&self.points[..start]);
        in_order
            .find(|(_, engine)| candidates.contains(engine))
            .map(|(_, engine)| *engine)
    }
}
