//! Regions and zones of nodes, engines and callers, and the distances between them.
//!
//! A message between zones takes one or two milliseconds, between regions tens of milliseconds.
//! Traffic and KV cache transfers between regions cost several times as much as well; see
//! docs/design/regions.md.

mod distance;
mod zone_map;

pub use distance::Distance;
pub use zone_map::{Area, Topology};
