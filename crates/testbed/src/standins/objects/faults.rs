//! How the object API misbehaves.

use std::time::Duration;

/// How the object API misbehaves; the default is not at all.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ObjectApiFaults {
    /// Every connection is closed without an answer and every watch ends.
    pub down: bool,
    /// Requests are taken and neither carried out nor answered until this is taken back.
    pub frozen: bool,
    /// Pause before a request takes effect.
    pub delay: Duration,
    /// Of a thousand writes, how many take effect and are never answered.
    pub lost_answers_permille: u16,
    /// Lists answer what the store held when this was set.
    pub stale_lists: bool,
    /// Most watches at once; `None` is the usual limit.
    pub max_watches: Option<usize>,
}
