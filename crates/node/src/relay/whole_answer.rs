//! Answers that are held back until they are whole.

use std::future::poll_fn;

use bytes::{Bytes, BytesMut};
use tokio::time::{Duration, timeout};

use crate::engine::EngineBody;

use super::RelayFault;

/// An answer read as far as it is held back.
pub(crate) enum WholeAnswer {
    /// All of it.
    Whole(Bytes),
    /// Its first part; it is too large to be held back.
    Large(Bytes),
}

/// Reads a body to its end, or until it has more than `limit` bytes.
///
/// As long as nothing has reached the caller, an attempt that breaks off can be made again.
pub(crate) async fn read_whole(
    body: &mut EngineBody,
    limit: usize,
    idle_timeout: Duration,
) -> Result<WholeAnswer, RelayFault> {
    let mut collected = BytesMut::new();
    loop {
        let next = timeout(idle_timeout, poll_fn(|context| body.poll_data(context))).await;
        match next.map_err(|_| RelayFault::Silent)? {
            None => return Ok(WholeAnswer::Whole(collected.freeze())),
            Some(data) => collected.extend_from_slice(&data?),
        }
        if collected.len() > limit {
            return Ok(WholeAnswer::Large(collected.freeze()));
        }
    }
}
