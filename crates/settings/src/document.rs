//! A settings file as a list of paths and values.

use toml::de::{DeTable, DeValue};

use super::SettingsFault;

/// A value as it stands in the file.
#[derive(Debug, Clone)]
pub(crate) enum RawValue {
    Text(String),
    Integer(i128),
    List(Vec<String>),
    /// Anything else; its kind.
    Other(&'static str),
}

/// One field of the file.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub path: String,
    pub line: usize,
    /// The value as written.
    pub written: String,
    pub value: RawValue,
}

/// Reads a file; syntax errors are faults.
pub(crate) fn read(text: &str) -> (Vec<Entry>, Vec<SettingsFault>) {
    let (table, errors) = DeTable::parse_recoverable(text);
    let mut entries = Vec::new();
    flatten(text, "", table.get_ref(), &mut entries);
    entries.sort_by_key(|entry| entry.line);
    let faults = errors
        .iter()
        .map(|error| syntax_fault(text, error))
        .collect();
    (entries, faults)
}

fn flatten(text: &str, prefix: &str, table: &DeTable<'_>, entries: &mut Vec<Entry>) {
    for (key, value) in table {
        let path = match prefix {
            "" => key.get_ref().to_string(),
            _ => format!("{prefix}.{}", key.get_ref()),
        };
        if let DeValue::Table(inner) = value.get_ref() {
            flatten(text, &path, inner, entries);
            continue;
        }
        entries.push(Entry {
            path,
            line: line_of(text, key.span().start),
            written: text.get(value.span()).unwrap_or_default().to_owned(),
            value: raw_value(value.get_ref()),
        });
    }
}

fn raw_value(value: &DeValue<'_>) -> RawValue {
    match value {
        DeValue::String(text) => RawValue::Text(text.to_string()),
        DeValue::Integer(number) => match i128::from_str_radix(number.as_str(), number.radix()) {
            Ok(number) => RawValue::Integer(number),
            Err(_) => RawValue::Other("a number out of range"),
        },
        DeValue::Array(items) => {
            let texts = items.iter().map(|item| item.get_ref().as_str());
            let texts = texts.map(|text| text.map(str::to_owned));
            match texts.collect::<Option<Vec<_>>>() {
                Some(texts) => RawValue::List(texts),
                None => RawValue::Other("a list of something else than texts"),
            }
        }
        other => RawValue::Other(other.type_str()),
    }
}

fn syntax_fault(text: &str, error: &toml::de::Error) -> SettingsFault {
    let start = error.span().map_or(0, |span| span.start);
    let line = line_of(text, start);
    let written = text.lines().nth(line - 1).unwrap_or_default().trim();
    SettingsFault {
        origin: format!("line {line}: "),
        field: "(syntax)".to_owned(),
        value: written.to_owned(),
        reason: error.message().to_owned(),
    }
}

fn line_of(text: &str, offset: usize) -> usize {
    let before = text.get(..offset).unwrap_or(text);
    before.matches('\n').count() + 1
}
