//! Number of an operator's call.

use derive_more::Display;

/// Number of an operator's call on this node, given by the RPC service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct OperationId(pub u64);
