//! The port to the source.

use std::time::Duration;

use futures_util::future::LocalBoxFuture;

use super::{Consistency, ItemBatch, ItemKind, ItemPage, Revision, SourceError};

/// Lists and watches items.
pub trait CatalogueSource {
    /// One page of all items of a kind, after the item called `after`.
    fn list<'a>(
        &'a self,
        kind: ItemKind,
        consistency: Consistency,
        after: Option<&'a str>,
    ) -> LocalBoxFuture<'a, Result<ItemPage, SourceError>>;

    /// Changes since `revision`; answers empty when there were none for `wait`. Fails with
    /// [`SourceError::HistoryGone`] if the source is not in the era of `revision`.
    fn watch<'a>(
        &'a self,
        kind: ItemKind,
        revision: Revision,
        wait: Duration,
    ) -> LocalBoxFuture<'a, Result<ItemBatch, SourceError>>;
}
