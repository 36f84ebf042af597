//! Bodies of answers.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::{Stream, stream};
use tokio::sync::watch;

use super::StreamFault;
use super::attempt::Attempt;
use super::attempt_progress::{AttemptEnd, AttemptProgress};
use super::attempt_reader::AttemptReader;
use super::chunk_format::{DONE, last_event, token_event};

/// A fault and the chunk it strikes.
#[derive(Debug, Clone, Copy)]
pub struct FaultAt {
    /// What goes wrong.
    pub fault: StreamFault,
    /// Index of the chunk.
    pub index: u32,
}

/// A stream under way.
struct EventCursor {
    reader: AttemptReader,
    progress: watch::Receiver<AttemptProgress>,
    next: u32,
    fault: Option<FaultAt>,
    ended: bool,
}

/// What to send next.
enum Piece {
    Bytes(Bytes),
    Cut,
    End,
}

/// Events of an attempt from chunk `from` on, as its tokens come.
pub fn event_stream(
    reader: AttemptReader,
    from: u32,
    fault: Option<FaultAt>,
) -> impl Stream<Item = Result<Bytes, io::Error>> + Send {
    let progress = reader.attempt().follow();
    let cursor = EventCursor {
        reader,
        progress,
        next: from,
        fault,
        ended: false,
    };
    stream::unfold(cursor, |mut cursor| async move {
        match cursor.next_piece().await {
            Piece::Bytes(bytes) => Some((Ok(bytes), cursor)),
            Piece::Cut => {
                cursor.ended = true;
                Some((Err(io::ErrorKind::ConnectionAborted.into()), cursor))
            }
            Piece::End => None,
        }
    })
}

/// Waits for the end of an attempt: the prompt tokens that were not computed, or `None` when it was
/// cancelled or lost.
pub async fn wait_for_end(attempt: &Arc<Attempt>) -> Option<u32> {
    let mut progress = attempt.follow();
    let ended = progress.wait_for(|progress| progress.end.is_some()).await;
    match ended.ok()?.end? {
        AttemptEnd::Finished { cached_tokens } => Some(cached_tokens),
        AttemptEnd::Gone => None,
    }
}

impl EventCursor {
    async fn next_piece(&mut self) -> Piece {
        if self.ended {
            return Piece::End;
        }
        if let Some(struck) = self.fault.take_if(|fault| fault.index == self.next) {
            return self.strike(struck.fault).await;
        }
        self.piece_at(self.next).await
    }

    async fn piece_at(&mut self, index: u32) -> Piece {
        let attempt = Arc::clone(self.reader.attempt());
        let last = attempt.request.output_tokens;
        let progress = *match self
            .progress
            .wait_for(|progress| index < progress.available || progress.end.is_some())
            .await
        {
            Ok(progress) => progress,
            Err(_) => return Piece::Cut,
        };
        if index < progress.available.min(last) {
            self.next = index + 1;
            return Piece::Bytes(Bytes::from(token_event(&attempt, index)));
        }
        let Some(AttemptEnd::Finished { cached_tokens }) = progress.end else {
            return Piece::Cut;
        };
        self.ended = true;
        if index > last {
            return Piece::Bytes(Bytes::from_static(DONE.as_bytes()));
        }
        let event = last_event(&attempt, cached_tokens) + DONE;
        Piece::Bytes(Bytes::from(event))
    }

    async fn strike(&mut self, fault: StreamFault) -> Piece {
        match fault {
            StreamFault::Cut => Piece::Cut,
            StreamFault::Truncate => Piece::End,
            StreamFault::Skip => self.piece_at(self.next + 1).await,
            StreamFault::Duplicate => {
                let first = self.piece_at(self.next).await;
                let Piece::Bytes(bytes) = first else {
                    return first;
                };
                Piece::Bytes(Bytes::from([bytes.as_ref(), bytes.as_ref()].concat()))
            }
            StreamFault::Swap => {
                let early = self.next;
                let later = self.piece_at(early + 1).await;
                let due = self.piece_at(early).await;
                self.next = early + 2;
                match (later, due) {
                    (Piece::Bytes(later), Piece::Bytes(due)) => {
                        Piece::Bytes(Bytes::from([later, due].concat()))
                    }
                    _ => Piece::Cut,
                }
            }
        }
    }
}
