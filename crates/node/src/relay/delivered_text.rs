//! The text a caller already has.

use memchr::{memchr2, memmem};

/// Most bytes of text kept for a continuation.
const TEXT_LIMIT: usize = 512 * 1024;

/// The text of the chunks already delivered, still escaped as in their JSON, from which another
/// engine can continue.
#[derive(Debug, Default)]
pub struct DeliveredText {
    text: String,
    // A chunk carried something other than text, or the text grew too long.
    incomplete: bool,
}

impl DeliveredText {
    /// Adds the text of a chunk.
    pub fn append(&mut self, chunk: &[u8]) {
        if self.incomplete {
            return;
        }
        let text = string_field(chunk, b"\"content\"").or_else(|| string_field(chunk, b"\"text\""));
        match text {
            Some(text) => self.push(text),
            None => self.incomplete = memmem::find(chunk, b"_call").is_some(),
        }
    }

    /// The text, escaped as JSON; `None` when another engine could not continue from it.
    pub fn as_json_text(&self) -> Option<&str> {
        (!self.incomplete).then_some(self.text.as_str())
    }

    fn push(&mut self, text: &[u8]) {
        let Ok(text) = std::str::from_utf8(text) else {
            self.incomplete = true;
            return;
        };
        if self.text.len() + text.len() > TEXT_LIMIT {
            self.incomplete = true;
            self.text = String::new();
            return;
        }
        self.text.push_str(text);
    }
}

/// The escaped value of the first field of this name whose value is a string.
///
/// The quoted name cannot occur inside a JSON string, where its quotes would be escaped; as a
/// value it is not followed by a colon.
fn string_field<'a>(json: &'a [u8], quoted_name: &[u8]) -> Option<&'a [u8]> {
    let mut rest = json;
    while let Some(position) = memmem::find(rest, quoted_name) {
        rest = &rest[position + quoted_name.len()..];
        let after_name = rest.trim_ascii_start();
        let Some(after_colon) = after_name.strip_prefix(b":") else {
            continue;
        };
        if let Some(value) = after_colon.trim_ascii_start().strip_prefix(b"\"") {
            return string_end(value).map(|end| &value[..end]);
        }
    }
    None
}

fn string_end(value: &[u8]) -> Option<usize> {
    let mut position = 0;
    while let Some(found) = memchr2(b'"', b'\\', &value[position..]) {
        position += found;
        if value[position] == b'"' {
            return Some(position);
        }
        position += 2;
        if position > value.len() {
            return None;
        }
    }
    None
}
