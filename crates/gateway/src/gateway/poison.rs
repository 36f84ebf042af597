//! Holding back requests that end the engines that run them; see docs/design/poison.md.

use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::{BackEndName, PoolName};
use ryerouter_core::poison::{Crash, Digest, Verdict};
use slog::{info, warn};

use super::news_queue::{part_of_turn, take_news};
use super::poison_records::settle_unless_newer;
use super::{Gateway, GatewayState};
use crate::engines::{Engine, IncarnationOrder};
use crate::poison::{PoisonUpdate, Run};
use crate::serve::AcceptedRequest;

/// Most requests that one message tells of; more wait for the next.
const MOST_NEWS: usize = 32;
/// Most requests held back that an introduction tells of: others with the next.
const MOST_IN_INTRODUCTION: usize = 16;
/// News are told so often where they go to each node directly: a datagram may be lost. Elsewhere they are passed
/// on by two nodes of each zone.
const TELLINGS: u32 = 3;
/// The entry of an engine that has ended goes after three heartbeats, so one that is listed for three lapses of
/// two has gone on.
const LAPSES_UNTIL_GONE: u32 = 3;

impl Gateway {
    /// Whether a request may be sent to an engine now.
    pub(crate) fn verdict_on(&self, request: &AcceptedRequest) -> Verdict {
        let has_none = self.state().poison.is_empty();
        match has_none {
            true => Verdict::Allowed,
            false => self.verdict_on_digest(request.digest()),
        }
    }

    /// The same for all requests that this stands for.
    pub fn verdict_on_digest(&self, digest: Digest) -> Verdict {
        let now = self.clock().now();
        self.withdraw_ends(digest, now);
        self.state().poison.verdict(digest, now)
    }

    /// A request that is held back is sent once, to see whether it still ends its engine.
    pub(crate) async fn begin_trial(&self, request: &AcceptedRequest) {
        let digest = request.digest();
        let now = self.clock().now();
        if let Some(history) = self.state_mut().poison.get_mut(digest) {
            history.begin_trial(now);
            info!(self.log(), "poison_tried"; "request" => &request.caller.id,
                "digest" => %digest, "trials" => history.trials);
        }
        // At once: others are not to begin one too.
        self.tell_of_poison(digest);
        self.write_poison_record(digest);
        self.until_poison_written(digest).await;
    }

    /// The connection of a run broke off. Its engine has most likely ended, unless it leaves, when its end is planned.
    pub(crate) fn note_broken_run(&self, run: &Run) {
        let Run {
            digest,
            placement,
            began,
            ..
        } = run;
        let (digest, began) = (*digest, *began);
        if !self.is_in_life_of(placement) {
            return;
        }
        let now = self.clock().now();
        let mut state = self.state_mut();
        let lapse = self.time_until_gone();
        let engine = state.engines.get_mut(&placement.engine);
        let Some(engine) = engine.filter(|engine| engine.is_staying()) else {
            return;
        };
        let crashed_at = engine.crashed_at().filter(|at| now.since(*at) < lapse);
        if crashed_at.is_some_and(|at| at < began) {
            // It was sent to an engine that had ended before.
            return;
        }
        engine.note_crashed(began, now);
        let mut crash = Crash {
            engine: placement.engine.clone(),
            incarnation: placement.incarnation,
            began,
            ended: now,
            is_unproven: false,
        };
        // What had ended before this node started is listed for as long, and the node could not see it end.
        let may_have_ended_before = self.uptime() < lapse && !engine.has_answered();
        crash.is_unproven = may_have_ended_before && crash.is_doubtful();
        let is_unproven = crash.is_unproven;
        drop(state);
        let Some(count) = self.note_poison_crash(digest, crash) else {
            return;
        };
        warn!(self.log(), "engine_ended_under_request"; "request" => &run.request,
            "digest" => %digest, "engine" => %placement.engine, "route" => &run.route,
            "after_ms" => now.since(began).as_millis() as u64, "in_a_row" => count,
            "is_unproven" => is_unproven, "held_back" => self.state().poison.is_blocked(digest));
    }

    /// An engine ended under a request. How many have now, one after the other; `None` when this tells nothing new.
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
        self.tell_of_poison(digest);
        match is_blocked {
            true => self.write_poison_record(digest),
            false if is_near => self.write_suspect_record(digest),
            false => {}
        }
        Some(count)
    }

    /// A run came to a good end: its request is not what ends engines.
    pub(crate) fn note_good_run(&self, request: &AcceptedRequest) {
        let has_none = self.state().poison.is_empty();
        if !has_none && self.clear_poison(request.digest()) {
            info!(self.log(), "poison_cleared"; "request" => &request.caller.id,
                "digest" => %request.digest());
        }
    }

    /// A run of a request came to a good end; `false` when this tells nothing new.
    pub fn clear_poison(&self, digest: Digest) -> bool {
        let now = self.clock().now();
        let mut state = self.state_mut();
        if state.poison.is_blocked(digest) {
            state.poison_records.note_stored(digest);
        }
        let is_news = state.poison.record_success(digest, now);
        let is_held = state.poison_records.is_stored(digest);
        drop(state);
        if is_news {
            self.tell_of_poison(digest);
        }
        if is_news && is_held {
            self.write_poison_record(digest);
        }
        is_news
    }

    /// A broken connection looks like the end of its engine. One that is still listed long after has gone on, as
    /// when a link was cut.
    fn withdraw_ends(&self, digest: Digest, now: Timestamp) {
        let lapse = self.time_until_gone();
        let mut state = self.state_mut();
        let GatewayState {
            poison,
            engines,
            steadiness,
            poison_records,
            ..
        } = &mut *state;
        if !steadiness.holds(lapse, now) {
            return;
        }
        let has_gone_on = |crash: &Crash| {
            let engine = engines.get(&crash.engine);
            let listed = engine.filter(|engine| !engine.is_unlisted);
            let is_same = listed.is_some_and(|engine| {
                IncarnationOrder::new(engine.entry.incarnation, crash.incarnation)
                    == IncarnationOrder::Same
            });
            is_same && now.since(crash.ended) > lapse
        };
        let Some(history) = poison.get_mut(digest) else {
            return;
        };
        let withdrawn = history.remove_crashes(has_gone_on);
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

    /// Whether an engine seems to have ended a little while ago.
    pub(super) fn has_ended(
        &self,
        state: &GatewayState,
        engine: &BackEndName,
        now: Timestamp,
    ) -> bool {
        let engine = state.engines.get(engine);
        let crashed_at = engine.and_then(Engine::crashed_at);
        crashed_at.is_some_and(|at| now.since(at) < self.time_until_gone())
    }

    /// The engines of a pool that seem to have ended a little while ago.
    pub(crate) fn ended_engines(&self, pool: &PoolName) -> Vec<BackEndName> {
        let now = self.clock().now();
        let state = self.state();
        let names = state.engines.of_pool(pool).map(|engine| &engine.entry.name);
        let ended = names.filter(|name| self.has_ended(&state, name, now));
        ended.cloned().collect()
    }

    /// An engine that has ended is listed for no longer.
    fn time_until_gone(&self) -> Duration {
        self.settings().entry_lapse * LAPSES_UNTIL_GONE
    }

    pub(super) fn tell_of_poison(&self, digest: Digest) {
        self.state_mut().poison_updates.insert(digest, TELLINGS);
        self.tell_peers_soon();
    }

    /// What to tell other nodes with a message; with an introduction also of requests that are held back.
    pub(super) fn poison_updates(
        &self,
        state: &mut GatewayState,
        is_introduction: bool,
        now: Timestamp,
    ) -> Vec<PoisonUpdate> {
        let mut told = match state.peers.is_large() {
            true => Vec::new(),
            false => take_news(&mut state.poison_updates, MOST_NEWS, 1),
        };
        if is_introduction {
            told.extend(convicted_of_turn(state));
            state.poison_turn = state.poison_turn.wrapping_add(1);
            told.sort_unstable();
            told.dedup();
        }
        news_of(state, &told, now)
    }

    /// News of requests that every node of a large deployment needs at once.
    pub(super) fn take_urgent_poison(
        &self,
        state: &mut GatewayState,
        now: Timestamp,
    ) -> Vec<PoisonUpdate> {
        if !state.peers.is_large() {
            return Vec::new();
        }
        let told = take_news(&mut state.poison_updates, MOST_NEWS, TELLINGS);
        if !state.poison_updates.is_empty() {
            // What this message does not hold is as urgent.
            self.tell_peers_soon();
        }
        news_of(state, &told, now)
    }

    /// Takes what another node tells.
    pub(super) fn take_poison_news(
        &self,
        state: &mut GatewayState,
        news: &[PoisonUpdate],
        now: Timestamp,
    ) {
        for told in news {
            note_ended_engines(state, told, now);
            let digest = told.digest;
            let history = told.history(now);
            let was_convicted = state.poison.is_blocked(digest);
            let is_news = state.poison.merge(digest, &history, now);
            let is_blocked = state.poison.is_blocked(digest);
            if is_news && is_blocked != was_convicted {
                info!(self.log(), "poison_heard"; "digest" => %digest, "held_back" => is_blocked,
                    "is_recorded" => told.is_recorded);
            }
            if was_convicted || told.is_recorded {
                state.poison_records.note_stored(digest);
            }
            if is_news && (is_blocked || was_convicted) {
                self.write_poison_record_later(state, digest, now);
            }
            if told.is_recorded {
                settle_unless_newer(state, digest, &history);
            }
        }
    }
}

/// What others send to an engine from now on is not what ended it.
fn note_ended_engines(state: &mut GatewayState, told: &PoisonUpdate, now: Timestamp) {
    for news in &told.crashes {
        let crash = news.crash(now);
        // It is told again and again, and the engine may have taken something since.
        let known = state.poison.get(told.digest);
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

/// Some of the requests that are held back, others with each message.
fn convicted_of_turn(state: &GatewayState) -> Vec<Digest> {
    let blocked: Vec<_> = state.poison.blocked().collect();
    part_of_turn(&blocked, MOST_IN_INTRODUCTION, state.poison_turn)
}

fn news_of(state: &GatewayState, told: &[Digest], now: Timestamp) -> Vec<PoisonUpdate> {
    let known = told.iter().filter_map(|digest| {
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
