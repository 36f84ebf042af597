//! The first list of engines of a node that has just started; see docs/design/first-list.md.

use std::rc::Rc;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::BackEndName;
use slog::info;
use tokio::time::sleep;

use super::{Follower, LOOK_INTERVAL};
use crate::gateway::{Gateway, Query};
use crate::source::lists::read_page;
use crate::source::questions::Questions;
use crate::source::{
    Backoff, CatalogueSource, Consistency, FollowSettings, ItemKind, ItemPage, List, SourceError,
};

impl Follower {
    /// Reads the first page of the list of engines, unless another node hands the list on. The rest
    /// is read by [`fill_list`], while changes are followed.
    pub(super) async fn begin_first_list(&mut self) {
        let mut pages = Questions::new();
        loop {
            let asked_at = self.begin_question();
            self.listed_at = Some(asked_at);
            let (source, kind) = (Rc::clone(&self.source), self.kind);
            pages.ask(|_| async move {
                let page = read_page(source.as_ref(), kind, Consistency::Stale, None).await?;
                Ok((page, asked_at))
            });
            let mut listed = tokio::select! {
                page = pages.next(self.settings.answer) => Some(page),
                () = is_handed_on(&self.gateway) => return,
            };
            while let Some(answer) = listed {
                self.gateway
                    .count_source_request(kind, Query::List, answer.is_ok());
                let error = match answer {
                    Ok((page, asked_at)) => return self.apply_first_page(page, asked_at),
                    Err(error) => error,
                };
                listed = tokio::select! {
                    () = self.pause_after(&error) => None,
                    late = pages.late_answer() => Some(late),
                };
            }
            if self.revision().is_some() {
                return;
            }
        }
    }

    fn apply_first_page(&mut self, page: ItemPage, asked_at: Timestamp) {
        self.note_answer();
        let taken = self.gateway.clock().now().since(asked_at);
        info!(self.gateway.log(), "first_page_read"; "items" => page.items.len(),
            "revision" => %page.revision, "taken_ms" => taken.as_millis() as u64,
            "is_whole" => page.next_after.is_none());
        match page.next_after {
            Some(_) => self.gateway.apply_list_page(None, page, asked_at),
            None => self.apply_list(List {
                items: page.items,
                revision: page.revision,
                consistency: Consistency::Stale,
                asked_at,
            }),
        }
    }
}

/// Reads the rest of the first list page by page, as far as other nodes don't hand it on; returns
/// when the list is complete.
pub(super) async fn fill_list(
    gateway: Rc<Gateway>,
    source: Rc<dyn CatalogueSource>,
    settings: FollowSettings,
) {
    let backoff = Backoff {
        first: super::FIRST_PAUSE,
        longest: settings.longest_pause,
    };
    let mut failures = 0;
    while !gateway.has_engine_list() {
        if !gateway.should_read_list_page() {
            gateway.clock().look(LOOK_INTERVAL).await;
            continue;
        }
        match read_next_page(&gateway, source.as_ref()).await {
            Ok(()) => failures = 0,
            Err(error) => {
                failures += 1;
                info!(gateway.log(), "list_page_unread"; "failures" => failures, "error" => %error);
                gateway.note_source_failure(ItemKind::Engines, &error, failures);
                sleep(backoff.pause_after(failures)).await;
            }
        }
    }
}

async fn read_next_page(
    gateway: &Gateway,
    source: &dyn CatalogueSource,
) -> Result<(), SourceError> {
    let asked_at = gateway.note_source_asked(ItemKind::Engines);
    let after = gateway.list_fill_position();
    let begin = after.as_ref().map(BackEndName::as_str);
    let page = read_page(source, ItemKind::Engines, Consistency::Stale, begin).await;
    gateway.count_source_request(ItemKind::Engines, Query::List, page.is_ok());
    gateway.apply_list_page(after.as_ref(), page?, asked_at);
    Ok(())
}

/// Resolves when another node has handed on the list, or the beginning of it.
async fn is_handed_on(gateway: &Gateway) {
    let is_begun = || {
        let state = gateway.state();
        state.replicas.of(ItemKind::Engines).revision.is_some()
    };
    while !is_begun() {
        gateway.clock().look(LOOK_INTERVAL).await;
    }
}
