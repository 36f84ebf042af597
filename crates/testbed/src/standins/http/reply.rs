//! Answers.

use std::io;

use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use hyper::header::CONTENT_TYPE;
use hyper::{Response, StatusCode};
use serde::Serialize;

/// Body of an answer.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// An answer.
pub type Reply = Response<Body>;

/// An answer without a body.
pub fn empty(status: StatusCode) -> Reply {
    with_type(status, "text/plain", Bytes::new())
}

/// An answer with a text body.
pub fn text(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    with_type(status, "text/plain", body.into())
}

/// An answer with a JSON body.
pub fn json(status: StatusCode, body: &impl Serialize) -> Reply {
    let bytes = serde_json::to_vec(body).expect("a stand-in's answer is plain data");
    with_type(status, "application/json", Bytes::from(bytes))
}

/// An answer with a body that is JSON already.
pub fn json_text(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    with_type(status, "application/json", body.into())
}

/// A body that is sent piece by piece; an error cuts the connection.
pub fn body_from_stream(
    pieces: impl Stream<Item = Result<Bytes, io::Error>> + Send + 'static,
) -> Body {
    StreamBody::new(pieces.map(|piece| piece.map(Frame::data))).boxed_unsync()
}

fn with_type(status: StatusCode, content_type: &'static str, body: Bytes) -> Reply {
    Response::builder()
        .status(status)
        .header(CONTENT_TYPE, content_type)
        .body(
            Full::new(body)
                .map_err(|never| match never {})
                .boxed_unsync(),
        )
        .expect("status and content type are valid")
}
