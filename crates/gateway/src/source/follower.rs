//! Following the source.

mod first_list;

use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use ryerouter_core::Timestamp;
use slog::{debug, info, warn};
use tokio::time::{sleep, timeout};

use first_list::fill_list;

use super::copy_prober::keep_copy_fresh;
use super::lists::read_list;
use super::progress::Progress;
use super::questions::Questions;
use super::{
    Backoff, CatalogueSource, Consistency, ItemKind, List, Replica, Revision, SourceError,
};
use crate::gateway::{Gateway, PEER_DISCOVERY_TIME, Query, Role, SIZE_DISCOVERY_TIME};

/// First wait after a failure; doubles up to [`FollowSettings::longest_pause`].
const FIRST_PAUSE: Duration = Duration::from_millis(60);

/// A node that reads for others makes its watches at least so far apart, so that many changes in a
/// row cost few calls.
const LEAST_SPACING: Duration = Duration::from_millis(250);
/// A node that was just started makes them so far apart while it may not know yet that there are
/// many others: each change would bring an answer to each of them.
const SPACING_WHILE_NEW: Duration = Duration::from_secs(1);
/// A single call may fail while the source is well; so many in a row count as an outage.
const FAILURES_OF_OUTAGE: u32 = 2;
/// A watch brings a change at most this much later than a question asked after it: the source answers
/// both at once, within some hundred milliseconds when it is slow.
const WATCH_LAG: Duration = Duration::from_millis(300);
/// Time between looks whether the source must be asked.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// A reader's watches last this share of the time within which changes must be in force. Its proof
/// is up to two watches old, that of the other zones' readers by one question more, and that of
/// their nodes by another one; together that stays under `PATIENCE_SHARES`.
const READER_WATCH_SHARE: f64 = 0.15;
/// A node that relies on a reader asks the source when its copy is older than a share of that time
/// drawn between these two, so that not all nodes do so at once.
const PATIENCE_SHARES: Range<f64> = 0.7..0.8;
/// After repeated failures so many nodes together ask the source as often as one alone would, until
/// one of them has got an answer.
const NODES_PER_PROBE: usize = 10;
/// The configuration is asked for first, since callers' keys depend on it; other kinds wait so many
/// times as long.
const OTHER_KINDS_PATIENCE: u32 = 2;
/// Named weights may be used much later than that, so they are proven this much less often.
const WEIGHTS_LENIENCE: f64 = 2.0;

/// Most questions in a row of a reader for what the answer before may have left out; after that its usual spacing holds.
const MAX_PARTIAL_ANSWERS: u32 = 16;

/// The share of the time within which changes must be in force that a node waits for others to hand on what it lacks:
/// what is left suffices for a question to the source.
const HANDOVER_SHARE: f64 = 0.4;

/// How a kind of item is followed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FollowSettings {
    /// Longest time that a watch stays open.
    pub watch: Duration,
    /// Time for an answer on top of that.
    pub answer: Duration,
    /// Longest wait after a failure.
    pub longest_pause: Duration,
}

/// Lists and then watches all items of a kind, and tells the gateway, until dropped.
///
/// The configuration is proven current by [`keep_fresh`](super::keep_fresh), the other kinds here.
pub async fn follow(
    gateway: Rc<Gateway>,
    source: Rc<dyn CatalogueSource>,
    kind: ItemKind,
    settings: FollowSettings,
) {
    let watched = watch_forever(
        Rc::clone(&gateway),
        Rc::clone(&source),
        kind,
        settings.clone(),
    );
    match kind {
        ItemKind::Configuration => watched.await,
        ItemKind::Engines => {
            let filled = fill_list(Rc::clone(&gateway), Rc::clone(&source), settings);
            tokio::join!(watched, filled, keep_copy_fresh(gateway, source, kind));
        }
        ItemKind::Weights => {
            tokio::join!(watched, keep_copy_fresh(gateway, source, kind));
        }
    }
}

async fn watch_forever(
    gateway: Rc<Gateway>,
    source: Rc<dyn CatalogueSource>,
    kind: ItemKind,
    settings: FollowSettings,
) {
    let mut follower = Follower {
        gateway,
        source,
        kind,
        settings,
        failures: 0,
        asked_at: None,
        listed_at: None,
        partial_answers: 0,
    };
    loop {
        follower.list_until_done().await;
        follower.watch_until_history_gone().await;
    }
}

struct Follower {
    gateway: Rc<Gateway>,
    source: Rc<dyn CatalogueSource>,
    kind: ItemKind,
    settings: FollowSettings,
    failures: u32,
    /// When the last list or watch began.
    asked_at: Option<Timestamp>,
    /// When the last list was asked for.
    listed_at: Option<Timestamp>,
    /// Answers to watches in a row that may have left out later changes.
    partial_answers: u32,
}

impl Follower {
    async fn list_until_done(&mut self) {
        if self.kind == ItemKind::Engines && !self.gateway.has_engine_list() {
            self.gateway.restart_list_fill();
            return self.begin_first_list().await;
        }
        let mut lists = Questions::new();
        loop {
            let asked_at = self.begin_question();
            self.listed_at = Some(asked_at);
            let source = Rc::clone(&self.source);
            let (kind, consistency) = (self.kind, self.consistency());
            lists.ask(|progress| async move {
                read_list(source.as_ref(), kind, consistency, asked_at, &progress).await
            });
            let mut listed = Some(lists.next(self.settings.answer).await);
            while let Some(answer) = listed {
                self.gateway
                    .count_source_request(self.kind, Query::List, answer.is_ok());
                let error = match answer {
                    Ok(list) if self.revision() <= Some(list.revision) => {
                        self.note_answer();
                        self.apply_list(list);
                        return;
                    }
                    // Older than the copy: it tells nothing.
                    Ok(_) => SourceError::HistoryGone,
                    Err(error) => error,
                };
                listed = tokio::select! {
                    () = self.pause_after(&error) => None,
                    late = lists.late_answer() => Some(late),
                };
            }
        }
    }

    fn apply_list(&mut self, list: List) {
        self.log_list(&list);
        self.listed_at = Some(list.asked_at);
        let gateway = &self.gateway;
        // A stale list may come from a part of the source that answers while the rest stands still.
        if list.consistency == Consistency::Linearizable {
            gateway.note_response_time(list.asked_at, Duration::ZERO);
        }
        gateway.apply_list_of(self.kind, list);
    }

    /// The first list may be stale: the watch from its revision, or another node, tells the rest. A
    /// configuration must be proved current before it is used.
    fn consistency(&self) -> Consistency {
        match self.kind {
            ItemKind::Configuration => Consistency::Linearizable,
            _ if self.revision().is_some() => Consistency::Linearizable,
            ItemKind::Engines | ItemKind::Weights => Consistency::Stale,
        }
    }

    /// A stale list that came late is old when it is taken in, and nothing else tells by how much.
    fn log_list(&self, list: &List) {
        let taken = self.gateway.clock().now().since(list.asked_at);
        info!(self.gateway.log(), "list_read"; "kind" => %self.kind,
            "revision" => %list.revision, "before" => shown(self.revision()),
            "items" => list.items.len(),
            "is_stale" => list.consistency == Consistency::Stale,
            "taken_ms" => taken.as_millis() as u64);
    }

    async fn watch_until_history_gone(&mut self) {
        loop {
            let wait = self.wait_until_needed().await;
            if self.gateway.state().replicas.of(self.kind).is_history_lost {
                return;
            }
            if self.is_behind_another_node() && self.has_caught_up_by_stale_list().await {
                continue;
            }
            let asked_at = self.begin_question();
            let revision = self.revision().unwrap_or_default();
            let call = self.source.watch(self.kind, revision, wait);
            let limit = wait + self.settings.answer;
            let answer = tokio::select! {
                answer = timeout(limit, call) => answer.unwrap_or_else(|_| Err(self.unanswered(wait))),
                // Such a watch may stay open for long, and proves nothing before its end.
                () = self.has_grown_large(), if wait == self.settings.watch => continue,
                () = self.is_overtaken(revision), if wait == self.settings.watch => {
                    self.leave_overtaken(asked_at, revision);
                    continue;
                }
            };
            self.gateway
                .count_source_request(self.kind, Query::Watch, answer.is_ok());
            match answer {
                Ok(batch) if batch.revision >= revision => {
                    self.note_answer();
                    self.note_wholeness(batch.is_whole);
                    self.gateway.note_response_time(asked_at, wait);
                    self.gateway
                        .log_source_changes(self.kind, Query::Watch, &batch, asked_at);
                    self.gateway
                        .apply_watched_batch(self.kind, batch, asked_at, wait);
                }
                Ok(_) | Err(SourceError::HistoryGone) => {
                    info!(self.gateway.log(), "source_history_gone"; "kind" => %self.kind,
                        "revision" => %revision);
                    return;
                }
                Err(error) => {
                    let waited = self.gateway.clock().now().since(asked_at);
                    info!(self.gateway.log(), "watch_failed"; "kind" => %self.kind,
                        "waited_ms" => waited.as_millis() as u64, "error" => %error);
                    self.pause_after(&error).await;
                }
            }
        }
    }

    /// Whether another node has told of a newer configuration. Its content comes from the source as
    /// long as that answers; see [`Gateway::next_configuration_fetch`] for when it does not.
    fn is_behind_another_node(&self) -> bool {
        let is_behind = self.gateway.state().replicas.of(self.kind).is_behind();
        let is_relying = self.gateway.role() == Role::Follower;
        self.kind == ItemKind::Configuration && is_behind && is_relying && self.failures == 0
    }

    /// Many nodes want the same configuration at the same time, and a stale list, which costs the
    /// source little, mostly holds it already. That it is current the other node proves.
    async fn has_caught_up_by_stale_list(&self) -> bool {
        let before = self.gateway.configuration_version();
        let asked_at = self.gateway.clock().now();
        let source = self.source.as_ref();
        let progress = Progress::default();
        let read = read_list(source, self.kind, Consistency::Stale, asked_at, &progress);
        let read = timeout(self.settings.answer, read).await;
        match read.unwrap_or(Err(SourceError::NoAnswer)) {
            Ok(list) if self.revision() <= Some(list.revision) => {
                let gateway = &self.gateway;
                let revision = list.revision;
                gateway.apply_list_of(self.kind, list);
                let after = gateway.configuration_version();
                debug!(gateway.log(), "configuration_read_stale"; "before" => before,
                    "after" => after, "revision" => %revision);
                before < after
            }
            Ok(list) => {
                debug!(self.gateway.log(), "configuration_read_too_stale";
                    "revision" => %list.revision);
                false
            }
            Err(error) => {
                debug!(self.gateway.log(), "configuration_not_read"; "error" => %error);
                false
            }
        }
    }

    /// Waits until this node should ask the source; tells how long the watch may then last.
    async fn wait_until_needed(&self) -> Duration {
        let bound = self.gateway.settings().propagation_limit;
        let bound = match self.kind {
            ItemKind::Weights => bound.mul_f64(WEIGHTS_LENIENCE),
            ItemKind::Configuration | ItemKind::Engines => bound,
        };
        let patience = bound.mul_f64(rand::rng().random_range(PATIENCE_SHARES));
        loop {
            match self.gateway.role() {
                Role::Follower if self.is_current(patience) => {
                    self.gateway.clock().look(LOOK_INTERVAL).await
                }
                Role::Follower => return Duration::ZERO,
                // After a failure the answer is wanted at once: it tells that nothing was missed.
                Role::Watcher | Role::Reader if self.failures > 0 => return Duration::ZERO,
                // A long watch of each node of a fleet that starts would be left within moments.
                Role::Watcher if self.uptime() < SIZE_DISCOVERY_TIME => {
                    self.gateway.clock().look(LOOK_INTERVAL).await
                }
                Role::Watcher if self.is_new() && self.asked_within(SPACING_WHILE_NEW) => {
                    self.gateway.clock().look(LOOK_INTERVAL).await;
                }
                Role::Watcher => return self.settings.watch,
                // Others rely on its proof, and an answer that may not be whole proves nothing.
                Role::Reader if self.must_ask_on() => return Duration::ZERO,
                Role::Reader if self.asked_within(LEAST_SPACING) => {
                    self.gateway.clock().look(LOOK_INTERVAL).await
                }
                Role::Reader => return bound.mul_f64(READER_WATCH_SHARE),
            }
        }
    }

    /// Resolves when this node is not to watch the source as one of few nodes any more.
    async fn has_grown_large(&self) {
        while self.gateway.role() == Role::Watcher {
            self.gateway.clock().look(LOOK_INTERVAL).await;
        }
    }

    /// Resolves when another question has brought a change that the watch from `revision` has not,
    /// though it has had the time: its connection carries nothing any more. The same when the
    /// source has told another question that a watch from there can't go on.
    async fn is_overtaken(&self, revision: Revision) {
        while !self.lacks_changes(revision) {
            self.gateway.clock().look(LOOK_INTERVAL).await;
        }
        sleep(WATCH_LAG).await;
    }

    /// A long watch without an answer says nothing of the source: its connection may have gone.
    fn unanswered(&self, wait: Duration) -> SourceError {
        match wait == self.settings.watch {
            true => SourceError::Unavailable {
                detail: "long watch without an answer".to_owned(),
            },
            false => SourceError::NoAnswer,
        }
    }

    fn lacks_changes(&self, revision: Revision) -> bool {
        let state = self.gateway.state();
        let replica = state.replicas.of(self.kind);
        replica.is_history_lost || replica.changed_until > Some(revision)
    }

    fn leave_overtaken(&self, asked_at: Timestamp, revision: Revision) {
        let waited = self.gateway.clock().now().since(asked_at);
        let state = self.gateway.state();
        let replica = state.replicas.of(self.kind);
        warn!(self.gateway.log(), "watch_silent"; "kind" => %self.kind, "revision" => %revision,
            "changed_until" => shown(replica.changed_until), "history_lost" => replica.is_history_lost,
            "waited_ms" => waited.as_millis() as u64);
    }

    fn is_current(&self, patience: Duration) -> bool {
        let now = self.gateway.clock().now();
        let state = self.gateway.state();
        let replica = state.replicas.of(self.kind);
        let proven_at = replica.known_as_of();
        // A stale list proves nothing, but was not much older.
        let known_at = proven_at.or(self.listed_at);
        let is_known = known_at.is_some_and(|at| now.since(at) < patience);
        is_known && !self.must_catch_up_alone(replica, now)
    }

    /// Whether a node that is behind asks the source. The list of engines others hand on first: where many engines
    /// change at once, every node would ask at the same time.
    fn must_catch_up_alone(&self, replica: &Replica, now: Timestamp) -> bool {
        match self.kind {
            ItemKind::Engines => {
                let bound = self.gateway.settings().propagation_limit;
                replica.is_behind_for(bound.mul_f64(HANDOVER_SHARE), now)
            }
            ItemKind::Configuration | ItemKind::Weights => replica.is_behind(),
        }
    }

    fn is_new(&self) -> bool {
        self.uptime() < PEER_DISCOVERY_TIME
    }

    fn uptime(&self) -> Duration {
        let clock = self.gateway.clock();
        clock.now().since(clock.start_time())
    }

    fn asked_within(&self, span: Duration) -> bool {
        let now = self.gateway.clock().now();
        self.asked_at.is_some_and(|at| now.since(at) < span)
    }

    fn begin_question(&mut self) -> Timestamp {
        let asked_at = self.gateway.note_source_asked(self.kind);
        self.asked_at = Some(asked_at);
        asked_at
    }

    fn revision(&self) -> Option<Revision> {
        self.gateway.state().replicas.of(self.kind).revision
    }

    fn note_wholeness(&mut self, is_whole: bool) {
        self.partial_answers = match is_whole {
            true => 0,
            false => self.partial_answers + 1,
        };
    }

    /// Whether the rest of the last answer is asked for at once.
    fn must_ask_on(&self) -> bool {
        (1..=MAX_PARTIAL_ANSWERS).contains(&self.partial_answers)
    }

    fn note_answer(&mut self) {
        if self.failures > 0 {
            info!(self.gateway.log(), "source_regained"; "kind" => %self.kind,
                "failures" => self.failures);
        }
        self.failures = 0;
    }

    async fn pause_after(&mut self, error: &SourceError) {
        if self.failures == 0 {
            warn!(self.gateway.log(), "source_lost"; "kind" => %self.kind, "error" => %error);
        }
        self.failures += 1;
        self.gateway
            .note_source_failure(self.kind, error, self.failures);
        let backoff = Backoff {
            first: FIRST_PAUSE,
            longest: self.settings.longest_pause,
        };
        let pause = backoff.pause_after(self.failures);
        let failed_at = self.gateway.clock().now();
        sleep(pause).await;
        if self.failures >= FAILURES_OF_OUTAGE {
            self.wait_for_others(failed_at, pause).await;
        }
    }

    /// While the source seems to be down for all, the nodes share out who asks it. One that is cut
    /// off alone hears of answers that others get, and goes on asking for itself.
    async fn wait_for_others(&self, failed_at: Timestamp, pause: Duration) {
        let nodes = self.gateway.state().peers.known_count();
        let share = (nodes as f64 / NODES_PER_PROBE as f64).max(1.0);
        let longest = self.gateway.settings().propagation_limit;
        let patience = pause.mul_f64(share).min(longest);
        let patience = match self.kind {
            ItemKind::Configuration => patience,
            ItemKind::Engines | ItemKind::Weights => patience * OTHER_KINDS_PATIENCE,
        };
        let is_over = || {
            let waited = self.gateway.clock().now().since(failed_at);
            waited >= patience || self.gateway.source_answered_since(failed_at)
        };
        while !is_over() {
            self.gateway.clock().look(LOOK_INTERVAL).await;
        }
    }
}

fn shown(revision: Option<Revision>) -> Option<String> {
    revision.map(|revision| revision.to_string())
}
