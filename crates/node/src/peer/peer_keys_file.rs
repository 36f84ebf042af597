//! File of the keys that nodes share.

use std::path::{Path, PathBuf};

use derive_more::{Display, Error};
use ryerouter_wire::peer::DatagramSeal;

const LEAST_KEY_BYTES: usize = 16;

/// Why a file of the keys that nodes share is refused. Never holds a key.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("peers' key file {}: {reason}", path.display())]
pub struct PeerKeysError {
    /// The file.
    pub path: PathBuf,
    /// What is wrong with it.
    pub reason: String,
}

/// Reads the keys that nodes share: one in hexadecimal on each line, the first of which seals.
pub fn read_peer_keys(path: &Path) -> Result<DatagramSeal, PeerKeysError> {
    let refuse = |reason: String| PeerKeysError {
        path: path.to_owned(),
        reason,
    };
    let text = std::fs::read_to_string(path).map_err(|error| refuse(error.to_string()))?;
    let mut keys = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.is_empty() {
            continue;
        }
        let key = hex::decode(line).ok();
        let key = key.filter(|key| key.len() >= LEAST_KEY_BYTES);
        let expected = || {
            refuse(format!(
                "line {}: expected at least {LEAST_KEY_BYTES} bytes in hexadecimal",
                index + 1
            ))
        };
        keys.push(key.ok_or_else(expected)?);
    }
    DatagramSeal::new(&keys).ok_or_else(|| refuse("holds no key".to_owned()))
}
