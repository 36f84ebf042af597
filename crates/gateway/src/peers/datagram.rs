//! Datagrams between nodes.

use serde::{Deserialize, Serialize};

use super::{PeerMessage, ZoneUpdate};
use crate::continuation;
use crate::permits;
use crate::sync::{Answer, Chunk, Fetch, ListFetch, ListPiece, Question};

/// One datagram between nodes: a JSON line.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// What the sender knows and does.
    #[serde(rename = "m")]
    Message(Box<PeerMessage>),
    /// The sender wants to catch up with the source.
    #[serde(rename = "q")]
    Question(Question),
    /// What it lacks.
    #[serde(rename = "a")]
    Answer(Answer),
    /// The sender wants the next piece of a configuration.
    #[serde(rename = "f")]
    Fetch(Fetch),
    /// The piece.
    #[serde(rename = "c")]
    Chunk(Chunk),
    /// The sender wants the next piece of the list of engines.
    #[serde(rename = "l")]
    ListFetch(ListFetch),
    /// The piece.
    #[serde(rename = "p")]
    ListPiece(ListPiece),
    /// What the nodes of another zone know and do.
    #[serde(rename = "z")]
    Zone(ZoneUpdate),
    /// The versions of streams, for nodes that hold these records.
    #[serde(rename = "s")]
    StreamRecords(continuation::Records),
    /// The sender has taken records that are to be stored.
    #[serde(rename = "w")]
    StreamsTaken(continuation::Taken),
    /// The sender wants to know at which version a stream began.
    #[serde(rename = "t")]
    StreamQuestion(continuation::Question),
    /// What is known about it.
    #[serde(rename = "u")]
    StreamAnswer(continuation::Answer),
    /// The sender wants a permit for an engine.
    #[serde(rename = "k")]
    PermitAsk(permits::Ask),
    /// Whether it gets the permit.
    #[serde(rename = "g")]
    PermitAnswer(permits::Answer),
    /// The permits of an engine that the sender holds.
    #[serde(rename = "h")]
    PermitReport(permits::Report),
}
