//! Reads a streamed answer as a caller does.

use serde_json::Value;

/// Reads a streamed answer as a caller does.
#[derive(Debug, Default)]
pub struct StreamText {
    buffer: Vec<u8>,
    next_index: u64,
    /// The text so far.
    pub text: String,
    /// How the answer names the weights; several when chunks differ.
    pub fingerprints: Vec<String>,
    /// Whether a chunk with usage counts came.
    pub has_usage: bool,
    /// Whether the end mark came.
    pub is_done: bool,
    /// The error that ended the stream.
    pub error: Option<Value>,
    /// What was wrong with the order or form of events.
    pub fault: Option<String>,
}

impl StreamText {
    /// Takes bytes of the answer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
        while let Some(end) = find_event_end(&self.buffer) {
            let event: Vec<u8> = self.buffer.drain(..end).collect();
            self.take_event(&String::from_utf8_lossy(&event));
        }
    }

    /// Whether a part of an event is left over.
    pub fn has_rest(&self) -> bool {
        !self.buffer.is_empty()
    }

    fn take_event(&mut self, event: &str) {
        if self.is_done {
            self.note_fault("an event after the end mark".to_owned());
        }
        let field = |name: &str| {
            let mut lines = event.lines();
            lines.find_map(|line| line.strip_prefix(name))
        };
        let Some(data) = field("data: ") else {
            return;
        };
        if data == "[DONE]" {
            self.is_done = true;
            return;
        }
        let Ok(chunk) = serde_json::from_str::<Value>(data) else {
            self.note_fault(format!("an event that is not JSON: {data}"));
            return;
        };
        if let Some(error) = chunk.get("error") {
            self.error = Some(error.clone());
            return;
        }
        self.take_index(field("id: "));
        self.take_chunk(&chunk);
    }

    fn take_index(&mut self, index: Option<&str>) {
        let index = index.and_then(|index| index.parse::<u64>().ok());
        if index != Some(self.next_index) {
            let expected = self.next_index;
            self.note_fault(format!("chunk {index:?} where {expected} is due"));
        }
        self.next_index += 1;
    }

    fn take_chunk(&mut self, chunk: &Value) {
        let choice = &chunk["choices"][0];
        let text = choice["delta"]["content"].as_str();
        let text = text.or_else(|| choice["text"].as_str());
        self.text.push_str(text.unwrap_or_default());
        self.has_usage |= chunk["usage"].is_object();
        let fingerprint = chunk["system_fingerprint"].as_str().unwrap_or_default();
        if !self.fingerprints.iter().any(|known| known == fingerprint) {
            self.fingerprints.push(fingerprint.to_owned());
        }
    }

    fn note_fault(&mut self, fault: String) {
        self.fault.get_or_insert(fault);
    }
}

fn find_event_end(buffer: &[u8]) -> Option<usize> {
    let end = buffer.windows(2).position(|pair| pair == b"\n\n")?;
    Some(end + 2)
}
