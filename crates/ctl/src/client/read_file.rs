//! Reading files that the command line names.

use crate::ctl_error::CtlError;

/// Reads a file.
pub fn read_file(path: &str) -> Result<String, CtlError> {
    std::fs::read_to_string(path).map_err(|source| CtlError::Unreadable {
        path: path.to_owned(),
        source,
    })
}
