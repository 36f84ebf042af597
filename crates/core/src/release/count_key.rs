//! Keys under which answers are counted.

use xxhash_rust::xxh3::xxh3_64;

/// Hash of a route's name.
pub type RouteKey = u32;
/// Hash of the name of an engine of the target version, or [`PRESENT`].
pub type EngineKey = u32;

/// Stands for all engines of the present version together.
pub const PRESENT: EngineKey = 0;

/// The key of a route or an engine; never [`PRESENT`].
pub fn key_of(name: &str) -> u32 {
    (xxh3_64(name.as_bytes()) as u32).max(1)
}

/// Identifies the answers on one route by one engine of the target version, or by all engines of
/// the present version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CountKey {
    /// The route.
    pub route: RouteKey,
    /// The engine of the target version, or [`PRESENT`].
    pub engine: EngineKey,
}

impl CountKey {
    /// Key of the present version's answers on a route.
    pub fn present(route: RouteKey) -> Self {
        Self {
            route,
            engine: PRESENT,
        }
    }

    /// Whether the answers are those of the present version.
    pub fn is_present(&self) -> bool {
        self.engine == PRESENT
    }
}
