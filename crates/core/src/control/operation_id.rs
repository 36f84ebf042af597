//! Number of an operator's call.

use derive_more::Display;

/// Number of an operator's call on this node, given by the RPC service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct OperationId(pub u64);

impl OperationId {
    const FIRST_OWN: u64 = 1 << 63;

    /// The number of a change that the control state itself wants: far from those of operators,
    /// which count from 1.
    pub(super) fn own(number: u64) -> Self {
        Self(Self::FIRST_OWN | number)
    }

    /// Whether the control state itself wants the change.
    pub(super) fn is_own(self) -> bool {
        self.0 >= Self::FIRST_OWN
    }
}
