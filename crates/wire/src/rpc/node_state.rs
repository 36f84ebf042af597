//! Whether a node lives.

use ryerouter_core::membership::MemberState;

use crate::generated::v1;

impl From<MemberState> for v1::NodeState {
    fn from(state: MemberState) -> Self {
        match state {
            MemberState::Alive => Self::Alive,
            MemberState::Suspect => Self::Suspect,
            MemberState::Failed => Self::Failed,
            MemberState::Left => Self::Left,
        }
    }
}
