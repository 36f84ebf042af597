//! Proof that a datagram comes from a node of the same deployment.

use hmac::{Hmac, Mac};
use sha2::Sha256;

use super::PeerCodecError;

const SEPARATOR: u8 = b'\n';
/// Bytes of the code; half of SHA-256, which is what a datagram can spare and nobody can guess.
const CODE_BYTES: usize = 16;
const CODE_DIGITS: usize = 2 * CODE_BYTES;

/// Most bytes that sealing adds to a datagram.
pub const SEAL_BYTES: usize = 1 + CODE_DIGITS;

/// Keys that nodes of one deployment share. A datagram carries a code (HMAC-SHA256) on a second
/// line; one without a right code is dropped.
///
/// The first key seals and all keys open, so that a key is replaced without a gap: first it is
/// added at the end on all nodes, then it is put first, then the former one is taken away.
#[derive(Clone)]
pub struct DatagramSeal {
    keys: Vec<Hmac<Sha256>>,
}

impl DatagramSeal {
    /// A seal with these keys; `None` when there is none.
    pub fn new<K: AsRef<[u8]>>(keys: &[K]) -> Option<Self> {
        let new_code = |key: &K| Hmac::new_from_slice(key.as_ref()).ok();
        let keys: Vec<_> = keys.iter().filter_map(new_code).collect();
        (!keys.is_empty()).then_some(Self { keys })
    }

    /// Appends the code to a datagram.
    pub fn seal(&self, datagram: &mut Vec<u8>) {
        let code = self.keys[0].clone().chain_update(&datagram[..]).finalize();
        let code = &code.into_bytes()[..CODE_BYTES];
        datagram.push(SEPARATOR);
        datagram.extend_from_slice(hex::encode(code).as_bytes());
    }

    /// The datagram without its code, if the code is right.
    pub fn open<'a>(&self, sealed: &'a [u8]) -> Result<&'a [u8], PeerCodecError> {
        let split = sealed.len().checked_sub(SEAL_BYTES).ok_or_else(unsealed)?;
        let (datagram, seal) = sealed.split_at(split);
        let mut code = [0; CODE_BYTES];
        hex::decode_to_slice(&seal[1..], &mut code).map_err(|_| unsealed())?;
        let is_right = |key: &Hmac<Sha256>| {
            let expected = key.clone().chain_update(datagram);
            expected.verify_truncated_left(&code).is_ok()
        };
        if seal[0] == SEPARATOR && self.keys.iter().any(is_right) {
            Ok(datagram)
        } else {
            Err(unsealed())
        }
    }
}

impl std::fmt::Debug for DatagramSeal {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "DatagramSeal({} keys)", self.keys.len())
    }
}

fn unsealed() -> PeerCodecError {
    PeerCodecError::Malformed {
        detail: "no right code".to_owned(),
    }
}
