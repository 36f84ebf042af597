//! Reading a caller's body.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use crate::request::{Refusal, RefusalReason};

/// Reads a caller's body within its bounds.
#[derive(Debug)]
pub(super) struct BodyReader {
    /// Most bytes.
    pub(super) max_bytes: usize,
    /// Longest time in which nothing comes.
    pub(super) idle_timeout: Duration,
    /// When all of it must be there.
    pub(super) deadline: Instant,
    /// What the caller is told when it is not.
    pub(super) late_reason: RefusalReason,
}

impl BodyReader {
    /// Reads all of it. What has come already is taken without a look at the time.
    pub(super) async fn read(&self, body: Incoming) -> Result<Bytes, Refusal> {
        let mut body = Limited::new(body, self.max_bytes);
        let Some(first) = self.next_part(&mut body).await? else {
            return Ok(Bytes::new());
        };
        let Some(second) = self.next_part(&mut body).await? else {
            return Ok(first);
        };
        let mut whole = BytesMut::from(first.as_ref());
        whole.extend_from_slice(&second);
        while let Some(part) = self.next_part(&mut body).await? {
            whole.extend_from_slice(&part);
        }
        Ok(whole.freeze())
    }

    async fn next_part(&self, body: &mut Limited<Incoming>) -> Result<Option<Bytes>, Refusal> {
        let pause_end = Instant::now() + self.idle_timeout;
        let end = pause_end.min(self.deadline);
        let frame = timeout_at(end, body.frame()).await;
        match frame.map_err(|_| self.too_slow(pause_end))? {
            None => Ok(None),
            // Trailers are not passed on.
            Some(Ok(frame)) => Ok(Some(frame.into_data().unwrap_or_default())),
            Some(Err(error)) if error.is::<LengthLimitError>() => {
                let detail = format!("body: longer than {} bytes", self.max_bytes);
                Err(Refusal::new(RefusalReason::BodyTooLarge, detail))
            }
            Some(Err(error)) => {
                let detail = format!("body: {error}");
                Err(Refusal::new(RefusalReason::BodyBroken, detail))
            }
        }
    }

    fn too_slow(&self, pause_end: Instant) -> Refusal {
        if pause_end <= self.deadline {
            let pause = self.idle_timeout.as_millis();
            let detail = format!("body: nothing came for {pause} ms");
            return Refusal::new(RefusalReason::BodyTooSlow, detail);
        }
        Refusal::new(self.late_reason, "body: not whole in time")
    }
}
