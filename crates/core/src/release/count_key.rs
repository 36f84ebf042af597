//! Which answers are counted together.

use xxhash_rust::xxh3::xxh3_64;

/// Stands for the name of a route.
pub type RouteKey = u32;
/// Stands for the name of an engine of the target version, or for all engines of the present one.
pub type EngineKey = u32;

/// All engines of the present version together.
pub const PRESENT: EngineKey = 0;

/// The key of a route or of an engine; never [`PRESENT`].
pub fn key_of(name: &str) -> u32 {
    (xxh3_64(name.as_bytes()) as u32).max(1)
}

/// Answers on one route, by one engine of the target version or by all of the present one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CountKey {
    /// The route.
    pub route: RouteKey,
    /// The engine.
    pub engine: EngineKey,
}

impl CountKey {
    /// Answers of the present version on a route.
    pub fn present(route: RouteKey) -> Self {
        Self {
            route,
            engine: PRESENT,
        }
    }

    /// Whether the answers are the present version's.
    pub fn is_present(&self) -> bool {
        self.engine == PRESENT
    }
}
