//! Judgement of single answers.

/// Judgement of an engine's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Judgement {
    /// The answer was complete and took no longer than the present version's answers.
    Good,
    /// The answer was an error of the engine itself, was incomplete or was invalid.
    Failed,
    /// The answer took several times as long as those of the present version.
    Slow,
}
