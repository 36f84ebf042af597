//! Failures of the object API.

use derive_more::{Display, Error};

/// Why a call to the object API has no answer.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum StoreFailure {
    /// The API could not be reached, failed or was too slow; a write may have taken effect.
    #[display("object API unavailable: {detail}")]
    Unavailable {
        /// What the transport said.
        detail: String,
    },
    /// The API takes no more readers now; the call had no effect.
    #[display("object API has too many readers")]
    TooManyReaders,
    /// The API's answer can't be read.
    #[display("object API answer unreadable: {detail}")]
    Unreadable {
        /// What is wrong with it.
        detail: String,
    },
}
