//! Blocks requests that crash the engines that run them; see docs/design/poison.md.

use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::{BackEndName, PoolName};
use ryerouter_core::poison::{Crash, Digest, History, Verdict};
use slog::{info, warn};

use super::poison_records::cancel_write_unless_newer;
use super::update_queue::{rotating_part, take_pending};
use super::{Gateway, GatewayState};
use crate::engines::{Engine, IncarnationOrder};
use crate::placement::Placement;
use crate::poison::{PoisonUpdate, Run, Watch, WatchedRun};
use crate::serve::AcceptedRequest;

/// Maximum number of requests that one message reports; more wait for the next.
const MAX_UPDATES_PER_MESSAGE: usize = 32;
/// Maximum number of blocked requests in a full update; the next one carries others.
const MAX_PER_FULL_UPDATE: usize = 16;
/// Transmissions of an update where messages go to each node directly, since a datagram may be
/// lost. In larger deployments two nodes of each zone forward updates instead.
const TRANSMISSIONS: u32 = 3;
/// A run that is watched has gone on for this time after its first event: engines that a request crashes do so within some
/// tens of milliseconds after they have begun it.
pub(crate) const LEAST_RUN_TIME: Duration = Duration::from_millis(60);
/// An engine has outlived the beginning of a run after this time at least, and after so many times the shortest run that
/// an engine crashed under: a request that crashes engines does so after about the same time.
const MIN_OUTLIVED_TIME: Duration = Duration::from_millis(300);
const OUTLIVED_FACTOR: u32 = 3;
/// Bytes that an engine sent before it crashed arrive within this time after the first of its connections broke.
const LAST_BYTES_TIME: Duration = Duration::from_millis(200);
/// The entry of a crashed engine expires after three heartbeats. An engine that is still listed
/// after three entry TTLs of two heartbeats each has therefore not crashed.
const TTLS_UNTIL_ENTRY_REMOVED: u32 = 3;

/// A fragile engine that refused a request within this time before it crashed has crashed because of its refusals. It
/// counts refusals over a second.
const REFUSAL_PERIOD: Duration = Duration::from_secs(1);

impl Gateway {
    /// Whether a request may be sent to an engine now.
    pub(crate) fn poison_verdict(&self, request: &AcceptedRequest) -> Verdict {
        let has_no_histories = self.state().poison.is_empty();
        match has_no_histories {
            true => Verdict::Allowed,
            false => self.poison_verdict_of(&request.suspects()),
        }
    }

    /// Whether requests with these digests, of themselves and of the parts of their prompts, may be sent to an engine now.
    pub fn poison_verdict_of(&self, digests: &[Digest]) -> Verdict {
        let now = self.clock().now();
        for digest in digests {
            self.withdraw_refuted_crashes(*digest, now);
        }
        self.state().poison.verdict_of_all(digests, now)
    }

    /// Records that a blocked request is now sent once, to check whether it still crashes its
    /// engine.
    pub(crate) async fn begin_trial(&self, request: &AcceptedRequest) {
        let blamed = self.blamed(request);
        for digest in &blamed {
            self.note_trial(request, *digest);
        }
        for digest in &blamed {
            self.wait_for_poison_write(*digest).await;
        }
    }

    /// Of a request and the parts of its prompt, those that are blocked.
    fn blamed(&self, request: &AcceptedRequest) -> Vec<Digest> {
        let suspects = request.suspects();
        let state = self.state();
        let blamed = suspects.iter().copied();
        blamed
            .filter(|digest| state.poison.is_blamed(*digest, &suspects))
            .collect()
    }

    fn note_trial(&self, request: &AcceptedRequest, digest: Digest) {
        let now = self.clock().now();
        if let Some(history) = self.state_mut().poison.get_mut(digest) {
            history.begin_trial(now);
            info!(self.log(), "poison_tried"; "request" => &request.caller.id,
                "digest" => %digest, "trials" => history.trials);
        }
        // Announced at once, so that other nodes do not start a trial as well.
        self.announce_poison(digest);
        self.schedule_poison_write(digest);
    }

    /// Handles a run whose connection broke. Its engine has most likely crashed, unless it is
    /// leaving, when it stops as planned.
    pub(crate) fn note_broken_run(&self, run: &Run) {
        let Run {
            digest,
            placement,
            began,
            ..
        } = run;
        let (digest, began) = (*digest, *began);
        if !self.is_same_incarnation(placement) {
            return;
        }
        let now = self.clock().now();
        let mut state = self.state_mut();
        let lifetime = self.crashed_entry_lifetime();
        let engine = state.engines.get_mut(&placement.engine);
        let Some(engine) = engine.filter(|engine| engine.is_in_service()) else {
            return;
        };
        let crashed_at = engine.crashed_at().filter(|at| now.since(*at) < lifetime);
        if crashed_at.is_some_and(|at| at < began) {
            // The request was sent to an engine that had already crashed.
            return;
        }
        engine.note_crashed(began, now);
        let refused_at = engine.refused_at();
        if fell_for_refusals(engine, now) {
            drop(state);
            self.metrics().refusal_falls.inc();
            if let Some(left_out) = self.full_sampler().admit(now) {
                info!(self.log(), "engine_fell_for_refusals"; "request" => &run.request,
                    "engine" => %placement.engine,
                    "refused_before_ms" => refused_at.map(|at| now.since(at).as_millis() as u64),
                    "left_out" => left_out);
            }
            return;
        }
        let mut crash = Crash {
            engine: placement.engine.clone(),
            incarnation: placement.incarnation,
            began,
            ended: now,
            is_unproven: false,
        };
        // An engine that crashed before this node started remains listed for this time, and the
        // node could not observe the crash.
        let may_have_crashed_before = self.uptime() < lifetime && !engine.has_answered();
        crash.is_unproven = may_have_crashed_before && crash.is_doubtful();
        let is_unproven = crash.is_unproven;
        drop(state);
        for part in self.parts_to_count(run) {
            if let Some(count) = self.note_poison_crash(part, crash.clone()) {
                self.log_part_crash(run, part, count);
            }
        }
        let Some(count) = self.note_poison_crash(digest, crash) else {
            return;
        };
        warn!(self.log(), "engine_ended_under_request"; "request" => &run.request,
            "digest" => %digest, "parts" => listed(&run.parts), "engine" => %placement.engine,
            "route" => &run.route,
            "after_ms" => now.since(began).as_millis() as u64, "in_a_row" => count,
            "refused_before_ms" => refused_at.map(|at| now.since(at).as_millis() as u64),
            "is_unproven" => is_unproven, "held_back" => self.state().poison.is_blocked(digest));
    }

    /// The parts of a run's prompt that its crash counts against: those that are blocked, if any, since these explain it.
    fn parts_to_count(&self, run: &Run) -> Vec<Digest> {
        let state = self.state();
        let parts = run.parts.iter().copied();
        let blocked = parts.clone().filter(|part| state.poison.is_blocked(*part));
        let blocked: Vec<_> = blocked.collect();
        match blocked.is_empty() {
            true => parts.collect(),
            false => blocked,
        }
    }

    fn log_part_crash(&self, run: &Run, part: Digest, count: usize) {
        let is_blocked = self.state().poison.is_blocked(part);
        if count > 1
            && let Some(left_out) = self.unserved_sampler().admit(self.clock().now())
        {
            warn!(self.log(), "engine_ended_under_part"; "request" => &run.request, "part" => %part,
                "engine" => %run.placement.engine, "in_a_row" => count, "held_back" => is_blocked,
                "left_out" => left_out);
        }
    }

    /// Records that an engine crashed while it ran a request. Returns the number of consecutive
    /// crashes of the request, or `None` when this crash adds nothing new.
    pub fn note_poison_crash(&self, digest: Digest, crash: Crash) -> Option<usize> {
        let now = self.clock().now();
        let mut state = self.state_mut();
        if !state.poison.record_crash(digest, crash, now) {
            return None;
        }
        let history = state.poison.get(digest)?;
        let count = history.crashes.len();
        let (is_blocked, is_near) = (history.is_blocked(), history.is_nearly_blocked());
        drop(state);
        self.announce_poison(digest);
        match is_blocked {
            true => self.schedule_poison_write(digest),
            false if is_near => self.schedule_suspect_write(digest),
            false => {}
        }
        Some(count)
    }

    /// Records a successful run, which shows that the request does not crash engines.
    pub(crate) fn note_successful_run(&self, request: &AcceptedRequest) {
        if self.state().poison.is_empty() {
            return;
        }
        for digest in request.suspects() {
            if self.clear_poison(digest) {
                info!(self.log(), "poison_cleared"; "request" => &request.caller.id,
                    "digest" => %digest);
            }
        }
    }

    /// Watches the engine of a run that has gone on for `LEAST_RUN_TIME` after its first event, and has just sent another one.
    /// An engine that a request crashes does not outlive the beginning of its run, whatever its caller does then. Returns
    /// whether the run is watched until then; `is_watched` states that it was.
    pub(crate) fn watch_run(
        &self,
        request: &AcceptedRequest,
        placement: &Placement,
        begun_at: Timestamp,
        is_watched: bool,
    ) -> bool {
        let now = self.clock().now();
        let mut state = self.state_mut();
        if state.poison.is_empty() {
            return is_watched;
        }
        let suspects = request.suspects();
        let known = suspects
            .iter()
            .filter_map(|digest| state.poison.get(*digest));
        let run_times = known.filter_map(History::shortest_run);
        let Some(shortest) = run_times.min() else {
            return is_watched;
        };
        let run = WatchedRun {
            engine: placement.engine.clone(),
            incarnation: placement.incarnation,
            begun_at,
            outlives_after: (shortest * OUTLIVED_FACTOR).max(MIN_OUTLIVED_TIME),
            suspects,
        };
        if now >= run.due_at() {
            drop(state);
            self.clear_outlived(&run);
            return is_watched;
        }
        if !is_watched {
            state.watched_runs.add(run);
        }
        true
    }

    /// Clears the crashes of requests whose engines have outlived the beginning of another run of them.
    pub fn clear_outlived_runs(&self) {
        let now = self.clock().now();
        let mut state = self.state_mut();
        if state.watched_runs.is_empty() {
            return;
        }
        let GatewayState {
            watched_runs,
            engines,
            ..
        } = &mut *state;
        let outlived = watched_runs.take_outlived(now, |run| {
            let engine = engines.get(&run.engine);
            let engine = engine.filter(|engine| engine.entry.incarnation == run.incarnation);
            match engine {
                None => Watch::Crashed,
                Some(engine) if engine.heard_at.get() >= Some(run.due_at()) => Watch::Outlived,
                Some(engine) if engine.crashed_at() >= Some(run.begun_at) => Watch::Crashed,
                Some(_) => Watch::Unheard,
            }
        });
        drop(state);
        for run in outlived {
            self.clear_outlived(&run);
        }
    }

    fn clear_outlived(&self, run: &WatchedRun) {
        for digest in &run.suspects {
            if self.clear_poison(*digest) {
                info!(self.log(), "poison_cleared"; "digest" => %digest, "outlived_by" => %run.engine,
                    "outlived_ms" => run.outlives_after.as_millis() as u64);
            }
        }
    }

    /// Clears the crashes of a request after a successful run; `false` when this changes nothing.
    pub fn clear_poison(&self, digest: Digest) -> bool {
        let now = self.clock().now();
        let mut state = self.state_mut();
        if state.poison.is_blocked(digest) {
            state.poison_records.note_stored(digest);
        }
        let is_new = state.poison.record_success(digest, now);
        let is_stored = state.poison_records.is_stored(digest);
        drop(state);
        if is_new {
            self.announce_poison(digest);
        }
        if is_new && is_stored {
            self.schedule_poison_write(digest);
        }
        is_new
    }

    /// Removes crashes that the engine list refutes. A broken connection looks like a crash, but an
    /// engine that is still listed long after it, as when a link was cut, has gone on running.
    fn withdraw_refuted_crashes(&self, digest: Digest, now: Timestamp) {
        let lifetime = self.crashed_entry_lifetime();
        let mut state = self.state_mut();
        let GatewayState {
            poison,
            engines,
            steadiness,
            poison_records,
            ..
        } = &mut *state;
        let is_list_steady = steadiness.has_lasted(lifetime, now);
        let has_survived = |crash: &Crash| {
            let engine = engines.get(&crash.engine);
            let same = engine.filter(|engine| {
                IncarnationOrder::new(engine.entry.incarnation, crash.incarnation)
                    == IncarnationOrder::Same
            });
            same.is_some_and(|engine| {
                let heard_at = engine.heard_at.get();
                let is_heard = heard_at > Some(crash.ended.after(LAST_BYTES_TIME));
                let is_listed = !engine.is_unlisted && now.since(crash.ended) > lifetime;
                is_heard || is_list_steady && is_listed
            })
        };
        let Some(history) = poison.get_mut(digest) else {
            return;
        };
        let withdrawn = history.remove_crashes(has_survived);
        if withdrawn > 0 {
            info!(self.log(), "poison_withdrawn"; "digest" => %digest, "engines" => withdrawn,
                "held_back" => history.is_blocked());
        }
        if withdrawn > 0
            && !history.is_blocked()
            && let Some(revision) = poison_records.forget(digest)
        {
            poison_records.schedule_removal(digest, revision);
            self.poison_records_due.notify_one();
        }
    }

    /// Whether an engine has probably crashed recently.
    pub(super) fn has_crashed(
        &self,
        state: &GatewayState,
        engine: &BackEndName,
        now: Timestamp,
    ) -> bool {
        let engine = state.engines.get(engine);
        let crashed_at = engine.and_then(Engine::crashed_at);
        crashed_at.is_some_and(|at| now.since(at) < self.crashed_entry_lifetime())
    }

    /// The engines of a pool that have probably crashed recently.
    pub(crate) fn crashed_engines(&self, pool: &PoolName) -> Vec<BackEndName> {
        let now = self.clock().now();
        let state = self.state();
        let names = state.engines.of_pool(pool).map(|engine| &engine.entry.name);
        let crashed = names.filter(|name| self.has_crashed(&state, name, now));
        crashed.cloned().collect()
    }

    /// Maximum time for which a crashed engine remains listed.
    pub(super) fn crashed_entry_lifetime(&self) -> Duration {
        self.settings().entry_ttl * TTLS_UNTIL_ENTRY_REMOVED
    }

    pub(super) fn announce_poison(&self, digest: Digest) {
        self.state_mut()
            .poison_updates
            .insert(digest, TRANSMISSIONS);
        self.request_peer_send();
    }

    /// The updates for the next message to other nodes; a full update also carries blocked
    /// requests.
    pub(super) fn poison_updates(
        &self,
        state: &mut GatewayState,
        is_full_update: bool,
        now: Timestamp,
    ) -> Vec<PoisonUpdate> {
        let mut digests = match state.peers.is_large() {
            true => Vec::new(),
            false => take_pending(&mut state.poison_updates, MAX_UPDATES_PER_MESSAGE, 1),
        };
        if is_full_update {
            digests.extend(blocked_in_rotation(state));
            state.poison_rotation = state.poison_rotation.wrapping_add(1);
            digests.sort_unstable();
            digests.dedup();
        }
        updates_of(state, &digests, now)
    }

    /// Takes the updates that every node of a large deployment needs at once.
    pub(super) fn take_urgent_poison(
        &self,
        state: &mut GatewayState,
        now: Timestamp,
    ) -> Vec<PoisonUpdate> {
        if !state.peers.is_large() {
            return Vec::new();
        }
        let digests = take_pending(
            &mut state.poison_updates,
            MAX_UPDATES_PER_MESSAGE,
            TRANSMISSIONS,
        );
        if !state.poison_updates.is_empty() {
            // The updates that did not fit into this message are just as urgent.
            self.request_peer_send();
        }
        updates_of(state, &digests, now)
    }

    /// Applies updates received from another node.
    pub(super) fn apply_poison_updates(
        &self,
        state: &mut GatewayState,
        updates: &[PoisonUpdate],
        now: Timestamp,
    ) {
        for update in updates {
            note_crashed_engines(state, update, now);
            let digest = update.digest;
            let history = update.history(now);
            let was_blocked = state.poison.is_blocked(digest);
            let is_new = state.poison.merge(digest, &history, now);
            let is_blocked = state.poison.is_blocked(digest);
            if is_new && is_blocked != was_blocked {
                info!(self.log(), "poison_heard"; "digest" => %digest, "held_back" => is_blocked,
                    "is_recorded" => update.is_recorded);
            }
            if was_blocked || update.is_recorded {
                state.poison_records.note_stored(digest);
            }
            if is_new && (is_blocked || was_blocked) {
                self.schedule_delayed_poison_write(state, digest, now);
            }
            if update.is_recorded {
                cancel_write_unless_newer(state, digest, &history);
            }
        }
    }
}

fn listed(digests: &[Digest]) -> String {
    let texts: Vec<_> = digests.iter().map(Digest::to_string).collect();
    texts.join(",")
}

/// Marks the engines of the reported crashes as crashed, so that other requests sent to them later
/// are not taken for the cause.
fn note_crashed_engines(state: &mut GatewayState, update: &PoisonUpdate, now: Timestamp) {
    for crash_update in &update.crashes {
        let crash = crash_update.crash(now);
        // The same crash is reported repeatedly, and the engine may have accepted requests since.
        let known = state.poison.get(update.digest);
        if known.is_some_and(|known| known.holds(&crash)) {
            continue;
        }
        let Some(engine) = state.engines.get_mut(&crash.engine) else {
            continue;
        };
        if IncarnationOrder::new(engine.entry.incarnation, crash.incarnation)
            == IncarnationOrder::Same
        {
            engine.note_crashed(crash.began, crash.ended);
        }
    }
}

/// The part of the blocked requests that this full update carries; each carries another.
fn blocked_in_rotation(state: &GatewayState) -> Vec<Digest> {
    let blocked: Vec<_> = state.poison.blocked().collect();
    rotating_part(&blocked, MAX_PER_FULL_UPDATE, state.poison_rotation)
}

fn updates_of(state: &GatewayState, digests: &[Digest], now: Timestamp) -> Vec<PoisonUpdate> {
    let known = digests.iter().filter_map(|digest| {
        let history = state.poison.get(*digest)?;
        let records = &state.poison_records;
        let is_recorded =
            records.revision(*digest).is_some() && !records.has_pending_write(*digest);
        Some(PoisonUpdate {
            is_recorded,
            ..PoisonUpdate::new(*digest, history, now)
        })
    });
    known.collect()
}

/// Whether a crash of an engine is explained by refusals that it had to give, so that it is no evidence against the
/// requests that ran there.
fn fell_for_refusals(engine: &Engine, now: Timestamp) -> bool {
    let is_fragile = engine.condition.fragility().is_some();
    is_fragile && engine.has_refused_within(REFUSAL_PERIOD, now)
}
