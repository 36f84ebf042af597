//! Whether the other side must show a certificate.

/// Whether the other side must show a certificate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientCertificates {
    /// It need not; who it is shows otherwise.
    NotAsked,
    /// It must show one that the authority vouches for.
    Required,
}
