//! Bytes that are collected piece by piece.

use bytes::Bytes;
use tokio::time::Instant;

use super::{BodyShortage, Reservation};

/// Maximum number of bytes by which a reservation grows at once.
const MAX_STEP: usize = 256 * 1_024;

/// Bytes of a body or an answer that are collected piece by piece within their reservation.
#[derive(Debug)]
pub(crate) struct CollectedBytes {
    bytes: Vec<u8>,
    reservation: Reservation,
}

impl CollectedBytes {
    /// Nothing is collected yet.
    pub(crate) fn new(reservation: Reservation) -> Self {
        Self {
            bytes: Vec::new(),
            reservation,
        }
    }

    /// Makes room for another piece of a body; waits until `end` if there is none.
    pub(crate) async fn admit_piece(
        &mut self,
        piece: usize,
        end: Instant,
    ) -> Result<(), BodyShortage> {
        if let Some(step) = self.step_for(piece) {
            let purpose = self.reservation.purpose;
            let purpose = purpose.grown_to(self.reservation.bytes + step);
            let memory = &self.reservation.memory;
            let more = memory.admit(purpose, step, end).await?;
            self.reservation.absorb(more);
        }
        Ok(())
    }

    /// Makes room for another piece of an answer, once there is some.
    pub(crate) async fn reserve_piece(&mut self, piece: usize) {
        if let Some(step) = self.step_for(piece) {
            let purpose = self.reservation.purpose;
            let purpose = purpose.grown_to(self.reservation.bytes + step);
            let has_turn = self.reservation.is_overdrawn;
            let memory = &self.reservation.memory;
            let more = memory.reserve_answer(purpose, step, has_turn).await;
            self.reservation.absorb(more);
        }
    }

    /// Appends a piece for which room was made.
    pub(crate) fn push(&mut self, piece: &[u8]) {
        if self.bytes.capacity() - self.bytes.len() < piece.len() {
            // Exactly what is reserved: growing by itself it would take up to twice as much.
            let room = self.reservation.bytes.max(self.bytes.len() + piece.len());
            self.bytes.reserve_exact(room - self.bytes.len());
        }
        self.bytes.extend_from_slice(piece);
    }

    /// All bytes, which hold their reservation until the last handle to them is dropped.
    pub(crate) fn finish(self) -> Bytes {
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(HeldBytes::new(self.bytes, self.reservation))
    }

    /// By how much the reservation must grow for this piece; it doubles up to a maximum step.
    fn step_for(&self, piece: usize) -> Option<usize> {
        let needed = self.bytes.len() + piece;
        let missing = needed.checked_sub(self.reservation.bytes)?;
        (missing > 0).then(|| missing.max(needed.min(MAX_STEP)))
    }
}

/// Bytes with their reservation.
pub(super) struct HeldBytes<T> {
    bytes: T,
    _reservation: Reservation,
}

impl<T> HeldBytes<T> {
    pub(super) fn new(bytes: T, reservation: Reservation) -> Self {
        Self {
            bytes,
            _reservation: reservation,
        }
    }
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for HeldBytes<T> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}
