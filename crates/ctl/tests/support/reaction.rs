//! What the scripted server does with a write.

/// What the scripted server does with a write instead of making and answering it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reaction {
    /// Makes it, but says that the outcome is unknown.
    LoseAnswer,
    /// Does not make it and says that the object API is down.
    Unavailable,
    /// Does not make it and says that the outcome is unknown.
    LoseRequest,
    /// Refuses it because of the operator's role.
    Denied,
    /// Makes another operator's change of the same back ends first.
    ChangeFirst,
}
