//! What may be repeated.

/// Kind of the requests of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// May run more than once.
    Safe,
    /// Runs at most once.
    Unsafe,
    /// The answer is a stream of events; repeatable only where it can be resumed.
    Streaming,
}
