//! Fields of a server-sent event.

use std::ops::Range;

use memchr::memchr;

/// Data of the event that ends a stream.
const DONE: &[u8] = b"[DONE]";

/// The fields of one server-sent event that the relay looks at.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EventFields {
    /// Its `id` field as a chunk index.
    pub index: Option<u64>,
    /// Where its first `data` field lies within the event.
    pub data: Option<Range<usize>>,
}

impl EventFields {
    /// Reads the fields of an event, which ends with an empty line.
    pub fn parse(event: &[u8]) -> Self {
        let mut fields = Self::default();
        let mut start = 0;
        while let Some(length) = memchr(b'\n', &event[start..]) {
            let end = start + length;
            fields.read_line(event, start, end);
            start = end + 1;
        }
        fields
    }

    /// Whether this is the end mark of a stream.
    pub fn is_done(&self, event: &[u8]) -> bool {
        let data = self.data.clone();
        data.is_some_and(|data| &event[data] == DONE)
    }

    fn read_line(&mut self, event: &[u8], start: usize, end: usize) {
        let line = &event[start..end];
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if let Some(value) = field_value(line, b"data:") {
            if self.data.is_none() {
                let data_end = start + line.len();
                self.data = Some(data_end - value.len()..data_end);
            }
        } else if let Some(value) = field_value(line, b"id:") {
            self.index = parse_index(value);
        }
    }
}

fn field_value<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

fn parse_index(digits: &[u8]) -> Option<u64> {
    if digits.is_empty() {
        return None;
    }
    let mut index: u64 = 0;
    for digit in digits {
        if !digit.is_ascii_digit() {
            return None;
        }
        index = index.checked_mul(10)?;
        index = index.checked_add(u64::from(digit - b'0'))?;
    }
    Some(index)
}
