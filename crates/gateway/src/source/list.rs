//! Whole lists of the source.

use ryerouter_core::Timestamp;

use super::{Consistency, Item, Revision};

/// All items of a kind, as the source told them.
#[derive(Debug, Clone)]
pub struct List {
    /// The items.
    pub items: Vec<Item>,
    /// Revision from which a watch goes on.
    pub revision: Revision,
    /// How current the list was when it was made.
    pub consistency: Consistency,
    /// When it was asked for; it may be that old when it is taken in.
    pub asked_at: Timestamp,
}
