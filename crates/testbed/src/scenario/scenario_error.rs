//! Why a scenario cannot be used.

use std::io;

use derive_more::{Display, Error, From};

/// A field with a value that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{field} = {value}: {reason}")]
pub struct FieldError {
    /// Path of the field.
    pub field: String,
    /// Its value.
    pub value: String,
    /// Why it cannot be used.
    pub reason: &'static str,
}

/// Why a scenario cannot be used.
#[derive(Debug, Display, Error, From)]
pub enum ScenarioError {
    /// The file cannot be read.
    #[display("scenario cannot be read: {_0}")]
    Read(io::Error),
    /// The text is no scenario.
    #[display("scenario cannot be parsed: {_0}")]
    Parse(toml::de::Error),
    /// Fields have values that cannot be used; all of them are listed.
    #[display("scenario has faults: {}", join(_0))]
    Fields(#[error(not(source))] Vec<FieldError>),
}

fn join(errors: &[FieldError]) -> String {
    let texts: Vec<String> = errors.iter().map(FieldError::to_string).collect();
    texts.join("; ")
}
