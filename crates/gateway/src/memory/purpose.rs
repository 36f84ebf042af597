//! What bytes are held for.

/// Longest body, answer or part of a stream that counts as short, in bytes: usual prompts are shorter.
const MAX_SHORT_BYTES: usize = 128 * 1_024;

/// What bytes are held for. The later ones may use more of the budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purpose {
    /// A body whose length is above that of usual ones.
    LongBody,
    /// A body of usual length.
    ShortBody,
    /// An answer, or events of a stream, above the usual length.
    LongAnswer,
    /// An answer, or events of a stream, of usual length.
    ShortAnswer,
}

impl Purpose {
    /// A body of so many bytes.
    pub fn body(bytes: usize) -> Self {
        match bytes > MAX_SHORT_BYTES {
            true => Self::LongBody,
            false => Self::ShortBody,
        }
    }

    /// An answer, or events of a stream, of so many bytes.
    pub fn answer(bytes: usize) -> Self {
        match bytes > MAX_SHORT_BYTES {
            true => Self::LongAnswer,
            false => Self::ShortAnswer,
        }
    }

    pub(super) fn is_body(self) -> bool {
        matches!(self, Self::LongBody | Self::ShortBody)
    }

    /// The same for more bytes.
    pub(super) fn grown_to(self, bytes: usize) -> Self {
        match self.is_body() {
            true => Self::body(bytes),
            false => Self::answer(bytes),
        }
    }
}
