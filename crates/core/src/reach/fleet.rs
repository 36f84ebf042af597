//! What a node knows of its deployment.

/// What a node knows of its deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fleet {
    /// Number of nodes, this one included.
    pub nodes: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of engines to which this node has been opening a connection for much longer than that
    /// takes.
    pub unconnected: usize,
}
