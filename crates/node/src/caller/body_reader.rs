//! Reads request bodies.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::timeout;

use crate::traffic::TrafficContext;

use super::{BodyLease, CallerError};

/// A request body and the share of memory it holds.
#[derive(Debug)]
pub(crate) struct HeldBody {
    pub(crate) bytes: Bytes,
    // Gives its share of memory back when the body is dropped.
    _lease: BodyLease,
}

/// Reads a request body within the limits of size, time and memory.
pub(crate) async fn read_body(
    body: Incoming,
    context: &TrafficContext,
) -> Result<HeldBody, CallerError> {
    let limit = context.settings.max_body_bytes;
    // A declared length that is too large is refused before anything is read.
    if body.size_hint().lower() > limit as u64 {
        return Err(CallerError::BodyTooLarge { limit });
    }
    let read = collect(body, limit, context.bodies.lease());
    let read = timeout(context.settings.body_read_timeout, read).await;
    read.map_err(|_| CallerError::BodyTimeout)?
}

async fn collect(
    mut body: Incoming,
    limit: usize,
    mut lease: BodyLease,
) -> Result<HeldBody, CallerError> {
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|source| CallerError::BodyBroken { source })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if collected.len() + data.len() > limit {
            return Err(CallerError::BodyTooLarge { limit });
        }
        if !lease.grow(data.len()) {
            return Err(CallerError::BodiesFull);
        }
        collected.extend_from_slice(&data);
    }
    Ok(HeldBody {
        bytes: collected.freeze(),
        _lease: lease,
    })
}
