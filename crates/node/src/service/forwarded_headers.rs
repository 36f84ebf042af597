//! Headers that go on between callers and back ends.

use hyper::Method;
use hyper::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, EXPECT, HOST, HeaderMap, HeaderName,
    HeaderValue, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use ryerouter_wire::engine_headers;

use crate::engine::{PayloadKind, RequestPayload};

/// Headers that speak of one connection only.
const HOP_BY_HOP: &[HeaderName] = &[
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    HOST,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Headers of the protocol between router and back ends, which callers must not be able to set.
const ENGINE_HEADERS: &[&str] = &[
    engine_headers::ATTEMPT_ID,
    engine_headers::REQUEST_ID,
    engine_headers::ENGINE_INCARNATION,
    engine_headers::WEIGHTS_VERSION,
    engine_headers::PRIORITY,
    engine_headers::TENANT,
    engine_headers::KV_IMPORT,
    engine_headers::KV_EXPORT,
    engine_headers::CONTINUE_FROM,
    engine_headers::PREFIX_CHAIN,
    engine_headers::ENGINE_RUNNING,
    engine_headers::ENGINE_WAITING,
    engine_headers::ENGINE_QUEUED_TOKENS,
    engine_headers::ENGINE_STATE,
    engine_headers::RUN_STATE,
    engine_headers::NOT_RUN_REASON,
];

/// Prefix of the headers between callers and router.
const ROUTER_PREFIX: &str = "x-ryerouter-";

/// The caller's headers that a plain service gets. The API key stays here.
pub(crate) fn request_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = forward(headers);
    forwarded.remove(AUTHORIZATION);
    forwarded
}

/// The back end's headers that the caller gets.
pub(crate) fn answer_headers(payload: &RequestPayload, headers: &HeaderMap) -> HeaderMap {
    if payload.kind != PayloadKind::Service {
        let mut forwarded = HeaderMap::new();
        let json = HeaderValue::from_static("application/json");
        forwarded.insert(CONTENT_TYPE, json);
        return forwarded;
    }
    let mut forwarded = forward(headers);
    // The answer to HEAD has a length but no body; all others get theirs from the body sent.
    if payload.method == Method::HEAD
        && let Some(length) = headers.get(CONTENT_LENGTH)
    {
        forwarded.insert(CONTENT_LENGTH, length.clone());
    }
    forwarded
}

/// Whether an answer is a stream of events, which must not be held back.
pub(crate) fn is_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(CONTENT_TYPE);
    content_type.is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"))
}

fn forward(headers: &HeaderMap) -> HeaderMap {
    let named_by_connection = connection_options(headers);
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let stays = HOP_BY_HOP.contains(name)
            || ENGINE_HEADERS.contains(&name.as_str())
            || name.as_str().starts_with(ROUTER_PREFIX)
            || name == "keep-alive"
            || named_by_connection
                .iter()
                .any(|option| option == name.as_str());
        if !stays {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}

/// Headers that `connection` declares to be of this connection only.
fn connection_options(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(CONNECTION).iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    texts
        .flat_map(|text| text.split(','))
        .map(|option| option.trim().to_ascii_lowercase())
        .collect()
}
