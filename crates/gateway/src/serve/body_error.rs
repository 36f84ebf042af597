//! Why a body was not read.

use derive_more::From;

use crate::memory::BodyShortage;
use crate::request::Refusal;

/// Why a body was not read into memory.
#[derive(Debug, From)]
pub(super) enum BodyError {
    /// The body broke off, came too slowly or was longer than allowed.
    Refused(Refusal),
    /// Its announced length is not allowed.
    #[from(ignore)]
    Announced(Refusal),
    /// There is no memory for it.
    Shortage(BodyShortage),
}
