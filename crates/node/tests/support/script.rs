//! What a scripted back end does with a connection.

use super::SeenRequest;

/// What a scripted back end does after it has read a request.
#[derive(Debug, Clone)]
pub enum Script {
    /// Writes these bytes as they are, then keeps the connection.
    Write(Vec<u8>),
    /// Writes these bytes as they are, then closes the connection.
    WriteAndClose(Vec<u8>),
    /// Writes these bytes, waits for a permit of [`super::ScriptedBackEnd::release`], writes the
    /// others.
    WriteWaitWrite(Vec<u8>, Vec<u8>),
    /// Writes these bytes one by one, each in a write of its own.
    Trickle(Vec<u8>),
    /// Writes a stream without an end.
    Endless,
    /// Writes nothing and keeps the connection.
    Hang,
}

impl Script {
    /// A stream's head and these events, each as an HTTP chunk, and the end of the body.
    pub fn stream(request: &SeenRequest, events: &[String]) -> Self {
        Self::Write(stream_bytes(request, events, true))
    }

    /// The same without the end of the body; then the connection closes.
    pub fn broken_stream(request: &SeenRequest, events: &[String]) -> Self {
        Self::WriteAndClose(stream_bytes(request, events, false))
    }

    /// The head and some events, then, once released, others and the end.
    pub fn stream_in_two(request: &SeenRequest, first: &[String], then: &[String]) -> Self {
        let mut rest = Vec::new();
        for event in then {
            rest.extend_from_slice(&http_chunk(event));
        }
        rest.extend_from_slice(b"0\r\n\r\n");
        Self::WriteWaitWrite(stream_bytes(request, first, false), rest)
    }

    /// A whole answer with this status, extra header lines and body.
    pub fn whole(request: &SeenRequest, status: u16, headers: &[&str], body: &str) -> Self {
        let mut head = head(request, status, headers);
        head.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
        Self::Write(head.into_bytes())
    }

    /// A refusal that says "not run".
    pub fn not_run(request: &SeenRequest, status: u16, reason: &str) -> Self {
        let reason = format!("x-not-run-reason: {reason}");
        Self::whole(request, status, &["x-run-state: not-run", &reason], "{}")
    }
}

fn head(request: &SeenRequest, status: u16, headers: &[&str]) -> String {
    let mut head = format!("HTTP/1.1 {status} Status\r\n");
    head.push_str(&format!("x-attempt-id: {}\r\n", request.attempt()));
    for header in headers {
        head.push_str(header);
        head.push_str("\r\n");
    }
    head
}

pub(super) fn stream_bytes(request: &SeenRequest, events: &[String], end: bool) -> Vec<u8> {
    let engine = format!("x-engine-incarnation: {}", request.incarnation);
    let headers = [
        "content-type: text/event-stream",
        engine.as_str(),
        "x-weights-version: 1",
        "transfer-encoding: chunked",
    ];
    let mut bytes = head(request, 200, &headers).into_bytes();
    bytes.extend_from_slice(b"\r\n");
    for event in events {
        bytes.extend_from_slice(&http_chunk(event));
    }
    if end {
        bytes.extend_from_slice(b"0\r\n\r\n");
    }
    bytes
}

pub(super) fn http_chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

/// The event of one chunk with this text.
pub fn chunk_event(index: u64, text: &str) -> String {
    format!("id: {index}\ndata: {{\"choices\":[{{\"delta\":{{\"content\":\"{text}\"}}}}]}}\n\n")
}

/// The last chunk's event, with the usage counts.
pub fn last_event(index: u64) -> String {
    format!(
        "id: {index}\ndata: {{\"choices\":[],\"usage\":{{\"prompt_tokens\":7,\
         \"completion_tokens\":{index},\"prompt_tokens_details\":{{\"cached_tokens\":3}}}}}}\n\n"
    )
}

/// The end mark.
pub fn done_event() -> String {
    "data: [DONE]\n\n".to_owned()
}

/// A whole stream of these texts from chunk `from` on.
pub fn stream_events(texts: &[&str], from: usize) -> Vec<String> {
    let mut events: Vec<String> = texts
        .iter()
        .enumerate()
        .skip(from)
        .map(|(index, text)| chunk_event(index as u64, text))
        .collect();
    events.push(last_event(texts.len() as u64));
    events.push(done_event());
    events
}
