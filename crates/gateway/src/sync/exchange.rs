//! Questions to and of other nodes.

use std::collections::BTreeMap;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::NodeName;

/// A node that did not answer, or knew nothing recent, is not asked again for so long.
const AVOID: Duration = Duration::from_secs(2);
/// A single datagram may be lost; so many in a row mean that the node is silent.
const MOST_UNANSWERED: u32 = 2;
/// A node that was asked within this time is taken for a reader by others.
const ASKED_LATELY: Duration = Duration::from_millis(1_200);

/// A question without an answer yet.
#[derive(Debug, Clone)]
struct Open {
    number: u64,
    asked_at: Timestamp,
    reader: NodeName,
}

/// The question that is open, and what is known of the nodes that may be asked.
#[derive(Debug, Default)]
pub struct Exchange {
    number: u64,
    open: Option<Open>,
    /// Questions in a row without an answer.
    unanswered: u32,
    avoided: BTreeMap<NodeName, Timestamp>,
    asked_by_others_at: Option<Timestamp>,
}

impl Exchange {
    /// A question to `reader` is being sent; tells its number.
    pub fn ask(&mut self, reader: NodeName, now: Timestamp) -> u64 {
        self.number += 1;
        self.open = Some(Open {
            number: self.number,
            asked_at: now,
            reader,
        });
        self.number
    }

    /// An answer came: when its question was sent, unless it is not the one that is waited for.
    pub fn close(&mut self, number: u64) -> Option<(NodeName, Timestamp)> {
        let open = self.open.take_if(|open| open.number == number)?;
        self.unanswered = 0;
        Some((open.reader, open.asked_at))
    }

    /// The answer to the open question, if there is one, is not to be used.
    pub fn forget_question(&mut self) {
        self.open = None;
    }

    /// The question before got no answer in time; tells the node that was silent so often that it
    /// is avoided from now on.
    pub fn give_up_silent(&mut self, now: Timestamp) -> Option<NodeName> {
        let open = self.open.take()?;
        self.unanswered += 1;
        if self.unanswered < MOST_UNANSWERED {
            return None;
        }
        self.unanswered = 0;
        self.avoid(open.reader.clone(), now);
        Some(open.reader)
    }

    /// This node is not to be asked for some time.
    pub fn avoid(&mut self, reader: NodeName, now: Timestamp) {
        self.avoided.retain(|_, until| now < *until);
        self.avoided.insert(reader, now.after(AVOID));
    }

    /// Whether a node may be asked.
    pub fn may_ask(&self, reader: &NodeName, now: Timestamp) -> bool {
        self.avoided.get(reader).is_none_or(|until| *until <= now)
    }

    /// Another node asks this one.
    pub fn note_asked(&mut self, now: Timestamp) {
        self.asked_by_others_at = Some(now);
    }

    /// Whether other nodes rely on this one.
    pub fn is_relied_on(&self, now: Timestamp) -> bool {
        let asked_at = self.asked_by_others_at;
        asked_at.is_some_and(|at| now.since(at) < ASKED_LATELY)
    }
}
