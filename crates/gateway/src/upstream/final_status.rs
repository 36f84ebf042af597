//! Tells final answers from interim ones and from statuses that HTTP does not know.

use hyper::StatusCode;

/// Checks that a status ends an exchange. The HTTP library hands on 101 although nobody asked for another protocol, and
/// any number of three digits from 100 on.
pub(super) fn check_final(status: StatusCode) -> Result<(), String> {
    let is_final = (200..600).contains(&status.as_u16());
    match is_final {
        true => Ok(()),
        false => Err(format!("status {} is not a final one", status.as_u16())),
    }
}
