//! An object of the object API.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::PlatformError;

/// An object of the object API with its version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Its key.
    pub key: String,
    /// Its version, which rises with every change of the object.
    pub version: u64,
    /// Its value.
    pub value: serde_json::Value,
}

impl Object {
    /// The value as the type its key stands for.
    pub fn decode<T: DeserializeOwned>(self) -> Result<T, PlatformError> {
        let key = self.key;
        serde_json::from_value(self.value).map_err(|error| PlatformError::Malformed {
            detail: format!("object {key}: {error}"),
        })
    }
}
