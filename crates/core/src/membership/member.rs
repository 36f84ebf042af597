//! A node in the membership table.

use crate::identity::ConfigVersion;
use crate::timestamp::Timestamp;

use super::{MemberRecord, MemberState};

/// A node in the membership table.
#[derive(Debug, Clone)]
pub struct Member {
    /// What all nodes tell each other of it.
    pub record: MemberRecord,
    /// Since when this is believed.
    pub since: Timestamp,
    /// The configuration it last said is in force on it.
    pub config_version: ConfigVersion,
    /// When this node last heard from it directly.
    pub heard_at: Option<Timestamp>,
}

impl Member {
    /// Whether it is counted as being there. A suspect is, until the suspicion is confirmed.
    pub fn is_live(&self) -> bool {
        matches!(self.record.state, MemberState::Alive | MemberState::Suspect)
    }
}
