//! A message of a prompt.

use std::sync::Arc;

/// A message of a prompt. Messages that several prompts share also share their text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// `system` or `user`.
    pub role: &'static str,
    /// The text.
    pub text: Arc<str>,
}

impl Message {
    /// Role of instructions.
    pub const SYSTEM: &'static str = "system";
    /// Role of what the caller says.
    pub const USER: &'static str = "user";
}
