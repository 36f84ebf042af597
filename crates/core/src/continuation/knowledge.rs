//! What is known about the software version of a stream.

use crate::release::SoftwareVersion;

/// What is known about the software version of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum Knowledge {
    /// No record of the stream is known.
    #[default]
    Unknown,
    /// Engines of this version wrote its events.
    Began(SoftwareVersion),
    /// Streams of different versions were begun under the same id.
    Ambiguous,
}
