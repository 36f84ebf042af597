//! A data centre.

use serde::{Deserialize, Serialize};

/// A data centre and its zones.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentreSpec {
    /// Its name.
    pub name: String,
    /// Its zones; a zone belongs to one data centre.
    pub zones: Vec<String>,
}
