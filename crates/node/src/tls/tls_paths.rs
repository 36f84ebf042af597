//! Files of certificates and keys.

use std::path::PathBuf;

/// Files of certificates and keys, all in PEM form.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TlsPaths {
    /// This process's certificate, followed by those between it and the authority.
    pub certificate: PathBuf,
    /// The private key of the certificate.
    pub key: PathBuf,
    /// Certificates of the authorities that vouch for the other side, where it must show one.
    pub authority: Option<PathBuf>,
}
