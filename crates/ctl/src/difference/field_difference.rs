//! Difference of a field.

use serde::Serialize;
use serde_json::Value;

/// Difference of a field.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct FieldDifference {
    /// Path of the field.
    pub field: String,
    /// Value in force.
    pub old: Value,
    /// Value asked for.
    pub new: Value,
}

impl FieldDifference {
    /// Differences between two documents, by path.
    pub fn between(old: &Value, new: &Value) -> Vec<Self> {
        let mut differences = Vec::new();
        compare("", old, new, &mut differences);
        differences
    }
}

fn compare(path: &str, old: &Value, new: &Value, differences: &mut Vec<FieldDifference>) {
    if old == new {
        return;
    }
    let (Value::Object(old_fields), Value::Object(new_fields)) = (old, new) else {
        differences.push(FieldDifference {
            field: path.to_owned(),
            old: old.clone(),
            new: new.clone(),
        });
        return;
    };
    let mut names: Vec<&String> = old_fields.keys().chain(new_fields.keys()).collect();
    names.sort();
    names.dedup();
    for name in names {
        let path = match path {
            "" => name.clone(),
            _ => format!("{path}.{name}"),
        };
        let old = old_fields.get(name).unwrap_or(&Value::Null);
        let new = new_fields.get(name).unwrap_or(&Value::Null);
        compare(&path, old, new, differences);
    }
}
