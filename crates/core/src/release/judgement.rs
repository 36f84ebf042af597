//! How an answer is judged.

/// How an answer of an engine is judged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Judgement {
    /// It was whole, and in the time that the present version takes.
    Good,
    /// It was an error of the engine's own, broke off, or was not an answer.
    Failed,
    /// It took several times as long as the present version's answers.
    Slow,
}
