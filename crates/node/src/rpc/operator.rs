//! Operators.

use super::OperatorRole;

/// Who makes a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Operator {
    /// The name that goes with the key; `None` where no keys are asked for.
    pub name: Option<String>,
    /// What the key allows.
    pub role: OperatorRole,
}
