//! Reads the bodies of callers' requests.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use crate::request::{Refusal, RefusalReason};

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
    /// Reads the complete body. Data that has already arrived is taken even when the deadline has passed.
    pub(super) async fn read(&self, body: Incoming) -> Result<Bytes, Refusal> {
        let mut body = Limited::new(body, self.max_bytes);
        let Some(first) = self.next_chunk(&mut body).await? else {
            return Ok(Bytes::new());
        };
        let Some(second) = self.next_chunk(&mut body).await? else {
            return Ok(first);
        };
        let mut whole = BytesMut::from(first.as_ref());
        whole.extend_from_slice(&second);
        while let Some(chunk) = self.next_chunk(&mut body).await? {
            whole.extend_from_slice(&chunk);
        }
        Ok(whole.freeze())
    }

    async fn next_chunk(&self, body: &mut Limited<Incoming>) -> Result<Option<Bytes>, Refusal> {
        let pause_end = Instant::now() + self.idle_timeout;
        let end = pause_end.min(self.deadline);
        let frame = timeout_at(end, body.frame()).await;
        match frame.map_err(|_| self.too_slow(pause_end))? {
            None => Ok(None),
            // Trailers are not forwarded.
            Some(Ok(frame)) => Ok(Some(frame.into_data().unwrap_or_default())),
            Some(Err(error)) if error.is::<LengthLimitError>() => {
                let detail = format!("body is longer than {} bytes", self.max_bytes);
                Err(Refusal::new(RefusalReason::BodyTooLarge, detail))
            }
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
