//! Tells bytes that are no answer from connections that break.

use std::error::Error as StdError;
use std::io;

/// Whether a connection ended because what came on it is no answer.
pub(crate) fn is_malformed(error: &hyper::Error) -> bool {
    let cause = error.source().and_then(|cause| cause.downcast_ref());
    let is_refused = cause.is_some_and(|cause: &io::Error| {
        matches!(
            cause.kind(),
            io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput
        )
    });
    error.is_parse() || is_refused
}
