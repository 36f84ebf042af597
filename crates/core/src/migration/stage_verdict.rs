//! Verdict on a step of a stage.

/// Verdict on a step of a stage.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StageVerdict {
    /// Too few requests to judge.
    TooFew,
    /// The target is good enough for more.
    Good,
    /// A bound of the operator is broken: the stage is taken back.
    Broken(String),
    /// The target is worse than the source: the share does not rise.
    Worse(String),
}
