//! Errors of the codec.

use std::io;

use derive_more::{Display, Error, From};

/// Why a line can't be read or written.
#[derive(Debug, Display, Error, From)]
pub enum PeerCodecError {
    /// The line is longer than allowed.
    #[display("line is longer than {limit} bytes")]
    #[from(skip)]
    TooLong {
        /// Most bytes a line may have.
        limit: usize,
    },
    /// The incomplete lines of all streams together take more memory than they may.
    #[display("incomplete lines of all streams exceed {limit} bytes")]
    #[from(skip)]
    NoRoom {
        /// Most bytes they may take.
        limit: usize,
    },
    /// The line is no message.
    #[display("malformed line: {detail}")]
    #[from(skip)]
    Malformed {
        /// What is wrong with it.
        detail: String,
    },
    /// The connection failed.
    #[display("connection failed: {_0}")]
    Io(io::Error),
}
