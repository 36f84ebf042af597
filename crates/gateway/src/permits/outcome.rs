//! How the use of a permit ended.

/// How the use of a permit ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The request was given up, so the engine may still be running it.
    Abandoned,
    /// The engine no longer has the request.
    Ended,
    /// The engine refused the request for lack of capacity.
    Refused,
}
