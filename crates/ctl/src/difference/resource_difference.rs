//! Difference of a resource.

use serde::Serialize;

use super::{ChangeAction, FieldDifference};

/// Difference of a resource.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ResourceDifference {
    /// What happens to it.
    pub action: ChangeAction,
    /// Its kind.
    pub kind: String,
    /// Its name.
    pub name: String,
    /// Its fields that change, when it is updated.
    pub fields: Vec<FieldDifference>,
}

impl ResourceDifference {
    /// Lines for people.
    pub fn lines(&self) -> Vec<String> {
        let mut lines = vec![format!(
            "{} {} {}",
            self.action.sign(),
            self.kind,
            self.name
        )];
        for field in &self.fields {
            lines.push(format!(
                "    {}: {} -> {}",
                field.field, field.old, field.new
            ));
        }
        lines
    }
}
