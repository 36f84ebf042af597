//! A caller's sending of a request.

/// A caller's sending of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Submission {
    /// Index of the tenant.
    pub tenant: usize,
    /// The node it is sent to.
    pub node: usize,
    /// Whether it is for the model pool.
    pub to_model: bool,
    /// Key under which it runs at most once.
    pub at_most_once_key: Option<String>,
    /// The part of the prompt that other requests share.
    pub shared_prefix: u64,
    /// The part of the prompt that is its own.
    pub question: u64,
    /// Chunks of the whole answer.
    pub chunks: u64,
    /// Sendings of the same request before this one.
    pub earlier_tries: u32,
    /// Whether its caller still waits.
    pub open: bool,
}
