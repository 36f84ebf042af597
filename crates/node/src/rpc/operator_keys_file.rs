//! File of operators' keys.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use derive_more::{Display, Error};
use serde::Deserialize;

use super::{OperatorKey, OperatorRole};

/// Why a file of operators' keys is refused. Never holds a key.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("operators' keys file {}: {}", path.display(), faults.join("; "))]
pub struct OperatorKeysError {
    /// The file.
    pub path: PathBuf,
    /// All faults, each with field, value and reason.
    #[error(not(source))]
    pub faults: Vec<String>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct KeysDocument {
    #[serde(default)]
    operator: Vec<KeyEntry>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct KeyEntry {
    name: String,
    role: String,
    key_sha256: String,
}

/// Reads and checks a file of operators' keys; reports all faults at once.
pub fn read_operator_keys(path: &Path) -> Result<Vec<OperatorKey>, OperatorKeysError> {
    let refuse = |faults: Vec<String>| OperatorKeysError {
        path: path.to_owned(),
        faults,
    };
    let text = std::fs::read_to_string(path).map_err(|error| refuse(vec![error.to_string()]))?;
    let document: KeysDocument =
        toml::from_str(&text).map_err(|error| refuse(vec![error.message().to_owned()]))?;
    let mut faults = Vec::new();
    let mut names = BTreeSet::new();
    let mut keys = Vec::new();
    for (index, entry) in document.operator.iter().enumerate() {
        if !names.insert(&entry.name) {
            faults.push(fault(index, "name", &entry.name, "is there twice"));
        }
        keys.extend(check_entry(index, entry, &mut faults));
    }
    if document.operator.is_empty() {
        faults.push("operator: no entry; nobody could make a call".to_owned());
    }
    if faults.is_empty() {
        Ok(keys)
    } else {
        Err(refuse(faults))
    }
}

fn check_entry(index: usize, entry: &KeyEntry, faults: &mut Vec<String>) -> Option<OperatorKey> {
    if entry.name.is_empty() {
        faults.push(fault(index, "name", "", "must not be empty"));
    }
    let role = entry.role.parse::<OperatorRole>();
    if role.is_err() {
        let reason = "expected viewer, editor or administrator";
        faults.push(fault(index, "role", &entry.role, reason));
    }
    let mut hash = [0; 32];
    let decoded = hex::decode_to_slice(&entry.key_sha256, &mut hash);
    if decoded.is_err() {
        // The value may be a key written here by mistake, so it is not repeated.
        let length = format!("({} characters)", entry.key_sha256.len());
        let reason = "expected a SHA-256 as 64 hexadecimal digits";
        faults.push(fault(index, "key_sha256", &length, reason));
    }
    decoded.ok()?;
    Some(OperatorKey::new(&entry.name, role.ok()?, hash))
}

fn fault(index: usize, field: &str, value: &str, reason: &str) -> String {
    format!("operator[{index}].{field} = {value:?}: {reason}")
}
