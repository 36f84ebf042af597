//! Frames on the wire.

use std::io;

use bytes::{Buf, BufMut, BytesMut};
use tokio_util::codec::{Decoder, Encoder};

use super::Frame;

const HEAD_BYTES: usize = 4;
/// Head in place of a length: the engine has closed its connection.
const END: u32 = 0;
/// Head in place of a length: the engine's connection broke.
const RESET: u32 = u32::MAX;
/// Maximum length of a frame in bytes; longer ones are no frames of a tunnel.
const MAX_BYTES: usize = 1_024 * 1_024;

/// Writes and reads frames: a length of four bytes, the most significant first, and the data.
#[derive(Debug, Clone, Copy, Default)]
pub struct FrameCodec;

impl Encoder<Frame> for FrameCodec {
    type Error = io::Error;

    fn encode(&mut self, frame: Frame, buffer: &mut BytesMut) -> io::Result<()> {
        match frame {
            Frame::End => buffer.put_u32(END),
            Frame::Reset => buffer.put_u32(RESET),
            Frame::Data(bytes) if bytes.is_empty() => {}
            Frame::Data(bytes) => {
                buffer.reserve(HEAD_BYTES + bytes.len());
                buffer.put_u32(bytes.len() as u32);
                buffer.put(bytes);
            }
        }
        Ok(())
    }
}

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = io::Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> io::Result<Option<Frame>> {
        let Some(head) = buffer.first_chunk::<HEAD_BYTES>() else {
            return Ok(None);
        };
        let head = u32::from_be_bytes(*head);
        let length = match head {
            END | RESET => 0,
            length => length as usize,
        };
        if length > MAX_BYTES {
            let detail = format!("frame of {length} bytes");
            return Err(io::Error::new(io::ErrorKind::InvalidData, detail));
        }
        if buffer.len() < HEAD_BYTES + length {
            buffer.reserve(HEAD_BYTES + length - buffer.len());
            return Ok(None);
        }
        buffer.advance(HEAD_BYTES);
        Ok(Some(match head {
            END => Frame::End,
            RESET => Frame::Reset,
            _ => Frame::Data(buffer.split_to(length).freeze()),
        }))
    }

    fn decode_eof(&mut self, buffer: &mut BytesMut) -> io::Result<Option<Frame>> {
        match self.decode(buffer)? {
            Some(frame) => Ok(Some(frame)),
            None => Err(io::ErrorKind::UnexpectedEof.into()),
        }
    }
}
