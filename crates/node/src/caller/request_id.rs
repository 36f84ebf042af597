//! Request ids.

use hyper::HeaderMap;
use ryerouter_core::identity::RequestId;
use ryerouter_wire::caller_headers;

use super::CallerError;

/// Longest request id or idempotency key taken from a caller.
pub(super) const MAX_ID_BYTES: usize = 256;

/// The caller's request id, or a fresh one.
pub(super) fn request_id(headers: &HeaderMap) -> Result<RequestId, CallerError> {
    match caller_id(headers, caller_headers::REQUEST_ID)? {
        Some(id) => Ok(RequestId::new(id)),
        None => Ok(fresh_request_id()),
    }
}

/// A request id no other request has.
pub(super) fn fresh_request_id() -> RequestId {
    RequestId::new(format!("{:032x}", rand::random::<u128>()))
}

/// A name that a caller chose: visible ASCII without quotes, so that it can stand in log lines and
/// headers as it is.
pub(super) fn caller_id<'a>(
    headers: &'a HeaderMap,
    name: &'static str,
) -> Result<Option<&'a str>, CallerError> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let invalid = |reason| CallerError::InvalidHeader {
        name,
        value: String::from_utf8_lossy(value.as_bytes()).into_owned(),
        reason,
    };
    let text = value.to_str().map_err(|_| invalid("is not ASCII"))?;
    if text.is_empty() {
        return Err(invalid("is empty"));
    }
    if text.len() > MAX_ID_BYTES {
        return Err(invalid("has more than 256 bytes"));
    }
    let plain = |byte: u8| byte.is_ascii_graphic() && byte != b'"' && byte != b'\\';
    if !text.bytes().all(plain) {
        return Err(invalid("has spaces, quotes or backslashes"));
    }
    Ok(Some(text))
}
