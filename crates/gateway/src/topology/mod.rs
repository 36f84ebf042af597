//! Where nodes, engines and callers stand, and how far that is from each other.
//!
//! Between zones a message takes a millisecond or two, between regions tens of them, and bytes and
//! moves of KV cache cost several times as much; see docs/design/regions.md.

mod distance;
mod zone_map;

pub use distance::Distance;
pub use zone_map::{Area, Topology};
