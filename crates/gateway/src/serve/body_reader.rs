//! Reads the bodies of callers' requests.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout_at};

use super::body_error::BodyError;
use crate::memory::{CollectedBytes, HeldMemory};
use crate::request::{Refusal, RefusalReason};

/// Longest time for which a body is left unread until there is memory for it.
const MAX_MEMORY_WAIT: Duration = Duration::from_secs(1);

/// Reads the body of a caller's request within limits of size and time.
#[derive(Debug)]
pub(super) struct BodyReader {
    /// Maximum size of the body.
    pub(super) max_bytes: usize,
    /// Maximum time without any data.
    pub(super) idle_timeout: Duration,
    /// When the body must be complete.
    pub(super) deadline: Instant,
    /// Reason of the refusal when the deadline passes.
    pub(super) late_reason: RefusalReason,
}

impl BodyReader {
    /// Reads the complete body into memory. Data that has already arrived is taken even when the deadline has passed.
    /// While there is no memory it is left unread, so that its caller sends no more of it.
    pub(super) async fn read(
        &self,
        body: &mut Incoming,
        memory: &Arc<HeldMemory>,
    ) -> Result<Bytes, BodyError> {
        let announced = body.size_hint().exact().unwrap_or_default();
        let announced = usize::try_from(announced).unwrap_or(usize::MAX);
        if announced > self.max_bytes {
            return Err(BodyError::Announced(self.too_large()));
        }
        let reservation = memory.admit_body(announced, self.memory_deadline()).await;
        let mut whole = CollectedBytes::new(reservation?);
        let mut body = Limited::new(body, self.max_bytes);
        while let Some(chunk) = self.next_chunk(&mut body).await? {
            let end = self.memory_deadline();
            whole.admit_piece(chunk.len(), end).await?;
            whole.push(&chunk);
        }
        Ok(whole.finish())
    }

    /// Reads the body and keeps nothing of it: its caller may send all of it before reading the answer, which a
    /// connection that is closed with unread data may lose.
    pub(super) async fn discard(&self, body: &mut Incoming) -> Result<(), Refusal> {
        let mut body = Limited::new(body, self.max_bytes);
        while self.next_chunk(&mut body).await?.is_some() {}
        Ok(())
    }

    fn memory_deadline(&self) -> Instant {
        self.deadline.min(Instant::now() + MAX_MEMORY_WAIT)
    }

    fn too_large(&self) -> Refusal {
        let detail = format!("body is longer than {} bytes", self.max_bytes);
        Refusal::new(RefusalReason::BodyTooLarge, detail)
    }

    async fn next_chunk(
        &self,
        body: &mut Limited<&mut Incoming>,
    ) -> Result<Option<Bytes>, Refusal> {
        let pause_end = Instant::now() + self.idle_timeout;
        let end = pause_end.min(self.deadline);
        let frame = timeout_at(end, body.frame()).await;
        match frame.map_err(|_| self.too_slow(pause_end))? {
            None => Ok(None),
            // Trailers are not forwarded.
            Some(Ok(frame)) => Ok(Some(frame.into_data().unwrap_or_default())),
            Some(Err(error)) if error.is::<LengthLimitError>() => Err(self.too_large()),
            Some(Err(error)) => {
                let detail = format!("body could not be read: {error}");
                Err(Refusal::new(RefusalReason::BodyBroken, detail))
            }
        }
    }

    fn too_slow(&self, pause_end: Instant) -> Refusal {
        if pause_end <= self.deadline {
            let pause = self.idle_timeout.as_millis();
            let detail = format!("no data of the body received for {pause} ms");
            return Refusal::new(RefusalReason::BodyTooSlow, detail);
        }
        Refusal::new(
            self.late_reason,
            "body incomplete when the time for it ran out",
        )
    }
}
