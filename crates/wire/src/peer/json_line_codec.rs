//! JSON lines of bounded length.

use std::marker::PhantomData;
use std::sync::Arc;

use bytes::{BufMut, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio_util::codec::{Decoder, Encoder, LinesCodec, LinesCodecError};

use super::line_budget::LineShare;
use super::{LineBudget, PeerCodecError};

/// Most bytes of a line on a stream.
pub const MAXIMUM_LINE_BYTES: usize = 4 << 20;

/// Reads and writes values as JSON lines of bounded length.
#[derive(Debug)]
pub struct JsonLineCodec<T> {
    lines: LinesCodec,
    share: Option<LineShare>,
    values: PhantomData<fn() -> T>,
}

impl<T> JsonLineCodec<T> {
    /// A codec of lines of at most `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            lines: LinesCodec::new_with_max_length(limit),
            share: None,
            values: PhantomData,
        }
    }

    /// A codec whose incomplete lines count towards a budget.
    pub fn with_budget(limit: usize, budget: Arc<LineBudget>) -> Self {
        Self {
            share: Some(LineShare::new(budget)),
            ..Self::new(limit)
        }
    }

    /// Counts what is left in the buffer after decoding.
    fn account(&mut self, incomplete: usize) -> Result<(), PeerCodecError> {
        let Some(share) = &mut self.share else {
            return Ok(());
        };
        if share.hold(incomplete) {
            return Ok(());
        }
        Err(PeerCodecError::NoRoom {
            limit: share.budget.limit(),
        })
    }

    fn limit(&self) -> usize {
        self.lines.max_length()
    }

    fn convert_error(&self, error: LinesCodecError) -> PeerCodecError {
        match error {
            LinesCodecError::MaxLineLengthExceeded => PeerCodecError::TooLong {
                limit: self.limit(),
            },
            LinesCodecError::Io(error) if error.kind() == std::io::ErrorKind::InvalidData => {
                PeerCodecError::Malformed {
                    detail: error.to_string(),
                }
            }
            LinesCodecError::Io(error) => PeerCodecError::Io(error),
        }
    }
}

impl<T> Default for JsonLineCodec<T> {
    fn default() -> Self {
        Self::new(MAXIMUM_LINE_BYTES)
    }
}

impl<T: DeserializeOwned> JsonLineCodec<T> {
    fn parse(&self, line: Option<String>) -> Result<Option<T>, PeerCodecError> {
        let Some(line) = line else {
            return Ok(None);
        };
        let value = serde_json::from_str(&line).map_err(|error| PeerCodecError::Malformed {
            detail: error.to_string(),
        })?;
        Ok(Some(value))
    }
}

impl<T: DeserializeOwned> Decoder for JsonLineCodec<T> {
    type Item = T;
    type Error = PeerCodecError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<T>, PeerCodecError> {
        let line = self.lines.decode(buffer);
        let line = line.map_err(|error| self.convert_error(error))?;
        self.account(buffer.len())?;
        self.parse(line)
    }

    fn decode_eof(&mut self, buffer: &mut BytesMut) -> Result<Option<T>, PeerCodecError> {
        let line = self.lines.decode(buffer);
        let line = line.map_err(|error| self.convert_error(error))?;
        if line.is_none() && !buffer.is_empty() {
            // A line that breaks off must not be taken for a whole one.
            return Err(PeerCodecError::Malformed {
                detail: "line breaks off".to_owned(),
            });
        }
        self.parse(line)
    }
}

impl<T: Serialize> Encoder<&T> for JsonLineCodec<T> {
    type Error = PeerCodecError;

    fn encode(&mut self, value: &T, buffer: &mut BytesMut) -> Result<(), PeerCodecError> {
        let start = buffer.len();
        let written = serde_json::to_writer((&mut *buffer).writer(), value);
        let limit = self.limit();
        let outcome = match written {
            Err(error) => Err(PeerCodecError::Malformed {
                detail: error.to_string(),
            }),
            Ok(()) if buffer.len() - start > limit => Err(PeerCodecError::TooLong { limit }),
            Ok(()) => Ok(()),
        };
        match outcome {
            Ok(()) => buffer.put_u8(b'\n'),
            Err(_) => buffer.truncate(start),
        }
        outcome
    }
}
