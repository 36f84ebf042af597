//! Short identity of a back end inside one process.

/// Short identity of a back end inside one process; never given to another name again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineKey(pub u32);
