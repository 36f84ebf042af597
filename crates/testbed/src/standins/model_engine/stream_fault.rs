//! What goes wrong with a stream.

/// What goes wrong with a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum StreamFault {
    /// The connection is cut in its middle.
    Cut,
    /// A chunk comes twice.
    Duplicate,
    /// Two chunks come in the wrong order.
    Swap,
    /// A chunk never comes.
    Skip,
    /// The answer ends, as if well, in its middle.
    Truncate,
}
