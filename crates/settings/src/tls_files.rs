//! Files for TLS on one listener.

use std::path::PathBuf;

/// Files for TLS on one listener.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TlsFiles {
    /// Certificate chain (PEM).
    pub certificate: PathBuf,
    /// Private key (PEM).
    pub key: PathBuf,
    /// Authority certificates (PEM) that the other side must be signed by.
    pub authority: Option<PathBuf>,
}
