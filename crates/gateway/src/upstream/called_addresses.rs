//! What calls tell of their addresses.

use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ryerouter_core::Timestamp;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout};

use super::CallAnswer;
use super::answer_times::LEAST_PATIENCE;
use super::call_log::CallLog;
use super::called_address::{CalledAddress, Suspicion};
use super::exchange::{ExchangeFailure, Exchanged};
use super::sent_call::SentCall;
use super::{Connection, Silence};
use crate::clock::Clock;

/// Connections that were idle for longer are closed rather than used.
const MOST_IDLE_TIME: Duration = Duration::from_secs(8);
/// An answer on a new connection confirms that an older one is silent only if that one still has no
/// answer so much later: a server that stood still answers all at once when it goes on, in any order.
const CONFIRMATION_WAIT: Duration = Duration::from_millis(50);

/// What calls tell of the addresses that they go to, and what follows for others.
#[derive(Debug)]
pub(super) struct CalledAddresses {
    pub(super) clock: Clock,
    pub(super) log: CallLog,
    silence: Rc<Silence>,
    addresses: RefCell<HashMap<SocketAddr, CalledAddress>>,
}

impl CalledAddresses {
    pub(super) fn new(clock: Clock, silence: Rc<Silence>, log: CallLog) -> Self {
        Self {
            clock,
            log,
            silence,
            addresses: RefCell::default(),
        }
    }

    /// An idle connection that there is no reason to distrust, the latest used first.
    pub(super) fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let now = self.clock.now();
        let mut addresses = self.addresses.borrow_mut();
        let idle = &mut addresses.get_mut(&address)?.idle;
        while let Some(connection) = idle.pop() {
            let is_suspect = self.silence.is_suspect(connection.heard_at.get());
            if connection.is_usable(now, MOST_IDLE_TIME) && !is_suspect {
                return Some(connection);
            }
        }
        None
    }

    /// How long a call may be without an answer on a kept connection, on top of being held.
    pub(super) fn patience(&self, call: &SentCall) -> Duration {
        let limit = call.terms.limit.saturating_sub(call.terms.hold);
        self.at(call.address, |known| known.times.patience(limit))
    }

    /// Resolves when the head of the answer is overdue; never when it has come.
    pub(super) async fn overdue(&self, call: &SentCall, patience: Duration) {
        let due = call.sent_at.after(call.terms.hold + patience);
        sleep_until(self.clock.instant(due)).await;
        if call.is_heard() {
            std::future::pending().await
        }
    }

    /// Resolves when other calls have shown that this one's connection is silent.
    pub(super) fn shown_silent(&self, call: &SentCall) -> impl Future<Output = ()> + use<> {
        let mut silent_since = self.at(call.address, |known| known.silent_since.subscribe());
        let heard_at = Rc::clone(&call.heard_at);
        async move {
            let shown = silent_since.wait_for(|since| heard_at.get() < *since);
            if shown.await.is_err() {
                std::future::pending().await
            }
        }
    }

    /// An answer came: its connection is kept, its time learned.
    pub(super) fn answered(self: &Rc<Self>, call: &SentCall, answer: Exchanged) -> CallAnswer {
        self.log.answered(call);
        self.learn(call, answer.taken);
        let is_newer = self.at(call.address, |known| {
            known.keep(answer.connection);
            let suspected = known.suspected;
            suspected.is_some_and(|suspicion| suspicion.since < call.opened_at)
        });
        if is_newer {
            spawn_local(Rc::clone(self).confirm(call.clone()));
        }
        answer.answer
    }

    /// A kept connection gave no answer in time.
    pub(super) fn suspect(&self, call: &SentCall, patience: Duration) {
        let now = self.clock.now();
        let closed = self.note_silent(call, now);
        self.log.silent(call, patience, closed, now);
    }

    /// The limit of a call is over.
    pub(super) fn unanswered(&self, call: &SentCall) {
        let now = self.clock.now();
        let closed = match call.is_heard() {
            true => 0,
            false => self.note_silent(call, now),
        };
        self.log.unanswered(call, "limit", closed, now);
    }

    /// Whoever made the call does not wait for it any more, for whatever reason: it tells something
    /// only when its answer could have been there.
    pub(super) fn abandoned(&self, call: &SentCall) {
        let now = self.clock.now();
        let waited = now.since(call.sent_at);
        let could_be_there = waited >= call.terms.hold + LEAST_PATIENCE;
        let closed = match could_be_there && !call.is_heard() {
            true => self.note_silent(call, now),
            false => 0,
        };
        self.log.unanswered(call, "caller", closed, now);
    }

    /// Goes on waiting for the answer to a call that was given up: should it come, the connection was
    /// slow and not silent.
    pub(super) async fn linger(
        self: Rc<Self>,
        call: SentCall,
        exchange: impl Future<Output = Result<Exchanged, ExchangeFailure>>,
    ) {
        let end = call.sent_at.after(call.terms.limit);
        let rest = end.since(self.clock.now());
        if let Ok(Ok(answer)) = timeout(rest, exchange).await {
            self.withdraw(&call, answer.taken);
            self.learn(&call, answer.taken);
            self.at(call.address, |known| known.keep(answer.connection));
        }
    }

    /// The answer came after all.
    pub(super) fn withdraw(&self, call: &SentCall, taken: Duration) {
        self.at(call.address, |known| known.suspected = None);
        self.log.withdrawn(call, taken);
    }

    /// Called when a connection opened after a suspicion was answered.
    async fn confirm(self: Rc<Self>, answered: SentCall) {
        sleep(CONFIRMATION_WAIT).await;
        let now = self.clock.now();
        let suspected = self.at(answered.address, |known| known.suspected.take());
        // It may have been withdrawn, or confirmed by another call.
        let Some(Suspicion { since, is_certain }) = suspected else {
            return;
        };
        if is_certain {
            self.silence.confirm(now);
        }
        let closed = self.at(answered.address, |known| {
            known.silent_since.send_replace(since);
            known.close_unheard_since(since)
        });
        self.log.confirmed(&answered, since, closed, now);
    }

    fn note_silent(&self, call: &SentCall, now: Timestamp) -> usize {
        self.at(call.address, |known| {
            known.times.back_off(call.sent_at, now);
            if !call.is_kept {
                return 0;
            }
            let before = known.suspected;
            known.suspected = Some(Suspicion {
                since: before.map_or(call.sent_at, |before| before.since.max(call.sent_at)),
                is_certain: call.terms.is_repeatable
                    || before.is_some_and(|before| before.is_certain),
            });
            known.close_unheard_since(call.sent_at)
        })
    }

    /// What is answered before the hold is over may have been held for any part of it.
    fn learn(&self, call: &SentCall, taken: Duration) {
        if let Some(taken) = taken.checked_sub(call.terms.hold) {
            self.at(call.address, |known| known.times.note(taken));
        }
    }

    fn at<T>(&self, address: SocketAddr, change: impl FnOnce(&mut CalledAddress) -> T) -> T {
        change(self.addresses.borrow_mut().entry(address).or_default())
    }
}
