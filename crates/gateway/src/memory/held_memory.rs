//! The memory held for callers, shared by all requests.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use prometheus::IntGauge;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use super::collected_bytes::HeldBytes;
use super::{BodyShortage, ByteBudget, MemoryLimits, Purpose, Reservation, Turn};

/// The memory held for callers, shared by all requests. What it holds is given back by whoever drops it last, so the
/// handle may be sent between threads though one thread serves all.
#[derive(Debug)]
pub struct HeldMemory {
    budget: Mutex<ByteBudget>,
    /// Notified when bytes were given back or a body no longer waits.
    freed: Notify,
    gauge: IntGauge,
}

impl HeldMemory {
    /// Memory of which nothing is held; `gauge` shows what is.
    pub fn new(limits: MemoryLimits, gauge: IntGauge) -> Arc<Self> {
        Arc::new(Self {
            budget: Mutex::new(ByteBudget::new(limits)),
            freed: Notify::new(),
            gauge,
        })
    }

    /// Bytes that are held.
    pub fn held(&self) -> usize {
        self.budget().held()
    }

    /// Bodies that wait to be admitted.
    pub fn waiting(&self) -> usize {
        self.budget().waiting()
    }

    /// Admits a body of so many bytes; while there is no room it waits until `end`.
    pub async fn admit_body(
        self: &Arc<Self>,
        bytes: usize,
        end: Instant,
    ) -> Result<Reservation, BodyShortage> {
        self.admit(Purpose::body(bytes), bytes, end).await
    }

    /// Admits more bytes of a body whose length was not announced.
    pub(super) async fn admit(
        self: &Arc<Self>,
        purpose: Purpose,
        bytes: usize,
        end: Instant,
    ) -> Result<Reservation, BodyShortage> {
        if let Some(reservation) = self.try_reserve(purpose, bytes) {
            return Ok(reservation);
        }
        let turn = self.budget().wait(purpose, bytes)?;
        let waiting = WaitingBody { memory: self, turn };
        let admitted = timeout_at(end, waiting.admitted(purpose, bytes)).await;
        admitted.map_err(|_| BodyShortage::TimeOver)
    }

    /// Holds an answer of so many bytes, once there is room.
    pub async fn reserve_whole_answer(self: &Arc<Self>, bytes: usize) -> Reservation {
        let purpose = Purpose::answer(bytes);
        self.reserve_answer(purpose, bytes, false).await
    }

    /// Holds bytes of an answer, once there is room. `has_turn` says that the answer is the one that may be overdrawn.
    pub(super) async fn reserve_answer(
        self: &Arc<Self>,
        purpose: Purpose,
        bytes: usize,
        has_turn: bool,
    ) -> Reservation {
        loop {
            // Made first, so that no release is missed.
            let freed = self.freed.notified();
            let reserved = self.try_reserve(purpose, bytes);
            let reserved = reserved.or_else(|| self.try_overdraw(purpose, bytes, has_turn));
            if let Some(reservation) = reserved {
                return reservation;
            }
            freed.await;
        }
    }

    /// Holds these events of a stream until the caller has taken them.
    pub async fn hold_events(self: &Arc<Self>, bytes: Bytes) -> Bytes {
        let purpose = Purpose::answer(bytes.len());
        let reservation = self.reserve_answer(purpose, bytes.len(), false).await;
        Bytes::from_owner(HeldBytes::new(bytes, reservation))
    }

    fn try_reserve(self: &Arc<Self>, purpose: Purpose, bytes: usize) -> Option<Reservation> {
        let is_reserved = self.budget().reserve(purpose, bytes);
        is_reserved.then(|| self.reservation(purpose, bytes, false))
    }

    fn reserve_in_turn(&self, turn: Turn, purpose: Purpose, bytes: usize) -> bool {
        self.budget().reserve_in_turn(turn, purpose, bytes)
    }

    fn try_overdraw(
        self: &Arc<Self>,
        purpose: Purpose,
        bytes: usize,
        has_turn: bool,
    ) -> Option<Reservation> {
        let is_reserved = self.budget().overdraw(bytes, has_turn);
        is_reserved.then(|| self.reservation(purpose, bytes, true))
    }

    fn reservation(
        self: &Arc<Self>,
        purpose: Purpose,
        bytes: usize,
        is_overdrawn: bool,
    ) -> Reservation {
        self.show();
        Reservation {
            memory: Arc::clone(self),
            purpose,
            bytes,
            is_overdrawn,
        }
    }

    pub(super) fn release(&self, bytes: usize, is_overdrawn: bool) {
        self.budget().release(bytes, is_overdrawn);
        self.show();
        self.freed.notify_waiters();
    }

    fn show(&self) {
        self.gauge
            .set(i64::try_from(self.held()).unwrap_or(i64::MAX));
    }

    fn budget(&self) -> MutexGuard<'_, ByteBudget> {
        // No function of the budget leaves it half changed.
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A body that waits; gives its place back when dropped.
struct WaitingBody<'a> {
    memory: &'a Arc<HeldMemory>,
    turn: Turn,
}

impl WaitingBody<'_> {
    async fn admitted(&self, purpose: Purpose, bytes: usize) -> Reservation {
        loop {
            // Made first, so that no release is missed.
            let freed = self.memory.freed.notified();
            let is_admitted = self.memory.reserve_in_turn(self.turn, purpose, bytes);
            if is_admitted {
                return self.memory.reservation(purpose, bytes, false);
            }
            freed.await;
        }
    }
}

impl Drop for WaitingBody<'_> {
    fn drop(&mut self) {
        self.memory.budget().end_wait(self.turn);
        self.memory.freed.notify_waiters();
    }
}
