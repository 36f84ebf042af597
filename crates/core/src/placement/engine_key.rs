//! Short identity of a back end inside one process.

/// Short identity of a back end inside one process. It is never reused for another name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineKey(pub u32);
