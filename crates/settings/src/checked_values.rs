//! Checked values of all fields.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use super::document::{Entry, RawValue};
use super::suggestion::nearest_path;
use super::{FIELDS, Field, FieldDefault, SettingOverride, SettingValue, SettingsFault};

/// Checked values of all fields, and the faults found so far.
#[derive(Debug)]
pub(crate) struct CheckedValues {
    values: BTreeMap<&'static str, SettingValue>,
    faults: Vec<SettingsFault>,
}

impl CheckedValues {
    /// Checks the entries of a file and overrides; an override takes the place of the file's value.
    pub fn check(
        entries: &[Entry],
        overrides: &[SettingOverride],
        faults: Vec<SettingsFault>,
    ) -> Self {
        let mut checked = Self {
            values: BTreeMap::new(),
            faults,
        };
        entries.iter().for_each(|entry| checked.take_entry(entry));
        overrides
            .iter()
            .for_each(|change| checked.take_override(change));
        checked.fill_defaults(entries, overrides);
        checked
    }

    /// Adds a fault that concerns several fields.
    pub fn add_fault(&mut self, field: &str, value: impl ToString, reason: &str) {
        self.faults.push(SettingsFault {
            origin: String::new(),
            field: field.to_owned(),
            value: value.to_string(),
            reason: reason.to_owned(),
        });
    }

    /// The values and the faults.
    pub fn into_parts(self) -> (BTreeMap<&'static str, SettingValue>, Vec<SettingsFault>) {
        (self.values, self.faults)
    }

    /// A name or a choice; empty when it has a fault.
    pub fn text(&self, path: &str) -> &str {
        match self.values.get(path) {
            Some(SettingValue::Text(text)) => text,
            _ => "",
        }
    }

    /// A whole number; 0 when it has a fault.
    pub fn integer(&self, path: &str) -> u64 {
        match self.values.get(path) {
            Some(SettingValue::Integer(number)) => *number,
            _ => 0,
        }
    }

    /// An address, if it has one.
    pub fn address(&self, path: &str) -> Option<SocketAddr> {
        match self.values.get(path) {
            Some(SettingValue::Address(address)) => Some(*address),
            _ => None,
        }
    }

    /// Addresses; none when they have a fault.
    pub fn addresses(&self, path: &str) -> Vec<SocketAddr> {
        match self.values.get(path) {
            Some(SettingValue::Addresses(addresses)) => addresses.clone(),
            _ => Vec::new(),
        }
    }

    /// A path, if it has one.
    pub fn file(&self, path: &str) -> Option<PathBuf> {
        match self.values.get(path) {
            Some(SettingValue::File(file)) => Some(file.clone()),
            _ => None,
        }
    }

    fn take_entry(&mut self, entry: &Entry) {
        let origin = format!("line {}: ", entry.line);
        let Some(field) = field_at(&entry.path) else {
            return self.add_unknown(origin, &entry.path, &entry.written);
        };
        let value = match &entry.value {
            RawValue::Text(text) => field.kind.check_text(text),
            RawValue::Integer(number) => field.kind.check_integer(*number),
            RawValue::List(texts) => field.kind.check_list(texts),
            RawValue::Other(kind) => Err(format!("{kind}; expected {}", field.kind)),
        };
        self.take(field, value, origin, &entry.written);
    }

    fn take_override(&mut self, change: &SettingOverride) {
        let origin = "flag: ".to_owned();
        let Some(field) = field_at(&change.path) else {
            return self.add_unknown(origin, &change.path, &change.value);
        };
        let value = field.kind.parse_override(&change.value);
        self.take(field, value, origin, &change.value);
    }

    fn take(
        &mut self,
        field: &Field,
        value: Result<SettingValue, String>,
        origin: String,
        written: &str,
    ) {
        match value {
            Ok(value) => {
                self.values.insert(field.path, value);
            }
            Err(reason) => self.faults.push(SettingsFault {
                origin,
                field: field.path.to_owned(),
                value: written.to_owned(),
                reason,
            }),
        }
    }

    fn add_unknown(&mut self, origin: String, path: &str, written: &str) {
        let reason = match nearest_path(path) {
            Some(near) => format!("unknown field; did you mean {near}?"),
            None => "unknown field".to_owned(),
        };
        self.faults.push(SettingsFault {
            origin,
            field: path.to_owned(),
            value: written.to_owned(),
            reason,
        });
    }

    fn fill_defaults(&mut self, entries: &[Entry], overrides: &[SettingOverride]) {
        for field in FIELDS {
            let given = entries.iter().any(|entry| entry.path == field.path)
                || overrides.iter().any(|change| change.path == field.path);
            if given {
                continue;
            }
            match default_value(field) {
                Some(value) => {
                    self.values.insert(field.path, value);
                }
                None if field.default == FieldDefault::Required => {
                    let reason = format!("is required: {}; expected {}", field.purpose, field.kind);
                    self.add_fault(field.path, "(none)", &reason);
                }
                None => {}
            }
        }
    }
}

fn field_at(path: &str) -> Option<&'static Field> {
    FIELDS.iter().find(|field| field.path == path)
}

fn default_value(field: &Field) -> Option<SettingValue> {
    match field.default {
        FieldDefault::Required | FieldDefault::Absent => None,
        FieldDefault::Integer(number) => Some(SettingValue::Integer(number)),
        FieldDefault::Text(text) => field.kind.check_text(text).ok(),
    }
}
