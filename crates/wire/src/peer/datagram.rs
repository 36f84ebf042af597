//! Datagrams.

use ryerouter_core::control::PeerMessage;

use super::PeerCodecError;

/// Most bytes of a message in one datagram, so that it is never cut into fragments.
pub const MAXIMUM_DATAGRAM_BYTES: usize = 1_400;

/// The bytes of one datagram.
pub fn encode_datagram(message: &PeerMessage) -> Result<Vec<u8>, PeerCodecError> {
    let line = serde_json::to_vec(message).map_err(|error| PeerCodecError::Malformed {
        detail: error.to_string(),
    })?;
    if line.len() > MAXIMUM_DATAGRAM_BYTES {
        return Err(PeerCodecError::TooLong {
            limit: MAXIMUM_DATAGRAM_BYTES,
        });
    }
    Ok(line)
}

/// The message of one datagram.
pub fn decode_datagram(bytes: &[u8]) -> Result<PeerMessage, PeerCodecError> {
    if bytes.len() > MAXIMUM_DATAGRAM_BYTES {
        return Err(PeerCodecError::TooLong {
            limit: MAXIMUM_DATAGRAM_BYTES,
        });
    }
    serde_json::from_slice(bytes).map_err(|error| PeerCodecError::Malformed {
        detail: error.to_string(),
    })
}
