//! A configuration that another node hands on in pieces.

use std::net::SocketAddr;

use ryerouter_core::Timestamp;
use serde::{Deserialize, Serialize};

/// Bytes of text in a piece: a datagram of this size passes most links in few fragments.
const CHUNK_BYTES: usize = 8 * 1_024;
/// A longer configuration is not taken: the source's own answers are bounded alike.
const MOST_BYTES: usize = 16 * 1_024 * 1_024;

/// Asks another node for the next piece of its configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fetch {
    /// The version of which the asker has the beginning.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
    /// Bytes of it that the asker has.
    #[serde(rename = "o", default)]
    pub offset: usize,
}

/// A piece of a configuration, in the words of the source.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Version of the configuration.
    #[serde(rename = "v")]
    pub version: u64,
    /// Where the piece begins.
    #[serde(rename = "o")]
    pub offset: usize,
    /// Bytes of the whole.
    #[serde(rename = "b")]
    pub total: usize,
    /// The piece.
    #[serde(rename = "t")]
    pub text: String,
}

impl Chunk {
    /// The piece of `document` that `fetch` asks for; the first one when it has another version.
    pub fn of(document: &str, version: u64, fetch: &Fetch) -> Self {
        let is_same = fetch.version == Some(version) && document.is_char_boundary(fetch.offset);
        let offset = if is_same { fetch.offset } else { 0 };
        let end = document.floor_char_boundary(offset + CHUNK_BYTES);
        Self {
            version,
            offset,
            total: document.len(),
            text: document[offset..end].to_owned(),
        }
    }
}

/// A node that has a newer configuration than this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Offer {
    /// Version of its configuration.
    pub version: u64,
    /// Where it is reached.
    pub address: SocketAddr,
}

/// What has come of a configuration so far.
#[derive(Debug, Default)]
pub struct Transfer {
    /// The newest offer.
    pub offer: Option<Offer>,
    /// When the last piece was asked for.
    pub asked_at: Option<Timestamp>,
    version: Option<u64>,
    text: String,
}

impl Transfer {
    /// The node that was asked for a piece that has not come yet, and when.
    pub fn awaited(&self) -> Option<(SocketAddr, Timestamp)> {
        self.offer.map(|offer| offer.address).zip(self.asked_at)
    }

    /// Another node has this version.
    pub fn note_offer(&mut self, offer: Offer) {
        if self
            .offer
            .is_none_or(|known| known.version <= offer.version)
        {
            self.offer = Some(offer);
        }
    }

    /// The question for the next piece.
    pub fn next(&self) -> Fetch {
        Fetch {
            version: self.version,
            offset: self.text.len(),
        }
    }

    /// Takes a piece; the whole text once it is complete. Pieces out of their order are passed over,
    /// since they are asked for again.
    pub fn take(&mut self, chunk: Chunk) -> Option<String> {
        if chunk.offset == 0 {
            self.text.clear();
            self.version = Some(chunk.version);
        }
        let is_next = self.version == Some(chunk.version) && chunk.offset == self.text.len();
        if !is_next || chunk.total > MOST_BYTES {
            return None;
        }
        self.text.push_str(&chunk.text);
        let is_complete = self.text.len() >= chunk.total;
        is_complete.then(|| {
            self.version = None;
            std::mem::take(&mut self.text)
        })
    }
}
