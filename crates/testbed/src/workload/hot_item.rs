//! The very hot item of a class.

use ryerouter_core::Timestamp;

use super::item::Item;

/// The very hot item of a class, until another takes its place.
#[derive(Debug, Clone)]
pub(super) struct HotItem {
    /// The item.
    pub item: Item,
    /// When another takes its place.
    pub until: Timestamp,
}
