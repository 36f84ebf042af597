//! Errors of certificates and keys.

use std::path::PathBuf;

use derive_more::{Display, Error};

/// Why certificates and keys cannot be used. Never holds key material.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum TlsError {
    /// A file cannot be read, or holds nothing of what it should.
    #[display("{}: {reason}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        reason: String,
    },
    /// Certificate and key do not fit together or are not usable.
    #[display("{}: certificate and key cannot be used: {reason}", path.display())]
    Pair {
        /// The file of the certificate.
        path: PathBuf,
        /// What is wrong.
        reason: String,
    },
    /// No authority was named where the other side must show a certificate.
    #[display("an authority is needed to check the certificates of the other side")]
    AuthorityMissing,
}
