//! Reading whole lists of the source.

use std::time::Duration;

use ryerouter_core::Timestamp;
use tokio::time::timeout;

use super::progress::Progress;
use super::{CatalogueSource, Consistency, ItemKind, ItemPage, List, Revision, SourceError};

/// A page that is later than this is not waited for any longer: a deployment where the source takes
/// so long for all is in an outage.
const MAX_PAGE_WAIT: Duration = Duration::from_secs(6);

/// All pages of a list. The time for a page is bounded, that for the list is not: it grows with the
/// list, and pages that have come are not to be read again.
pub(super) async fn read_list(
    source: &dyn CatalogueSource,
    kind: ItemKind,
    consistency: Consistency,
    asked_at: Timestamp,
    progress: &Progress,
) -> Result<List, SourceError> {
    let mut items = Vec::new();
    let mut after: Option<String> = None;
    let mut first_revision = None;
    loop {
        let page = read_page(source, kind, consistency, after.as_deref()).await?;
        progress.note();
        items.extend(page.items);
        // Changes after the first page may be missing from it, so the watch begins there.
        let revision: Revision = *first_revision.get_or_insert(page.revision);
        if page.revision.era != revision.era {
            return Err(SourceError::HistoryGone);
        }
        let Some(next) = page.next_after else {
            return Ok(List {
                items,
                revision,
                consistency,
                asked_at,
            });
        };
        after = Some(next);
    }
}

/// The page of a list that begins after an item.
pub(super) async fn read_page(
    source: &dyn CatalogueSource,
    kind: ItemKind,
    consistency: Consistency,
    after: Option<&str>,
) -> Result<ItemPage, SourceError> {
    let page = timeout(MAX_PAGE_WAIT, source.list(kind, consistency, after)).await;
    page.unwrap_or(Err(SourceError::NoAnswer))
}
