//! Answers of the source.

use super::{Item, ItemChange, Revision};

/// A page of a list.
#[derive(Debug, Clone)]
pub struct ItemPage {
    /// Its items.
    pub items: Vec<Item>,
    /// The name after which the next page begins, if there is one.
    pub next_after: Option<String>,
    /// Revision of the source that the list shows.
    pub revision: Revision,
}

/// What a watch tells.
#[derive(Debug, Clone)]
pub struct ItemBatch {
    /// Changes in order.
    pub changes: Vec<ItemChange>,
    /// The next watch goes on from this revision.
    pub revision: Revision,
    /// Whether nothing followed `revision` when the source answered. An answer of limited size may hold only
    /// the first changes, and then shows nothing of what is current.
    pub is_whole: bool,
}
