//! Serving short questions.

use hyper::server::conn::http1;

/// Maximum size of the head of a question, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1_024;

/// A server for questions that are a short head alone. By default a server keeps some 400 kB of a head that has no end, on
/// each connection.
pub fn question_server() -> http1::Builder {
    let mut server = http1::Builder::new();
    server.max_buf_size(MAX_HEAD_BYTES);
    server
}
