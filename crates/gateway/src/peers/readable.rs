//! Reading what nodes of another build tell.
//!
//! Nodes of two builds run side by side while one replaces the other, so a message may hold words that this build
//! does not know. What can't be read is passed over by itself, and the rest of the message holds; see
//! docs/design/upgrades.md.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;

/// The entries of a list that this build can read.
pub fn readable<'de, D, T>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    T: DeserializeOwned,
{
    let entries: Vec<Box<RawValue>> = Vec::deserialize(deserializer)?;
    // No line is written for each: a newer build tells the same many times a second.
    let known = entries
        .iter()
        .filter_map(|entry| serde_json::from_str(entry.get()).ok());
    Ok(known.collect())
}

/// A word, or what stands for one that this build does not know.
pub fn readable_or_default<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: DeserializeOwned + Default,
{
    let word: Box<RawValue> = Box::deserialize(deserializer)?;
    Ok(serde_json::from_str(word.get()).unwrap_or_default())
}
