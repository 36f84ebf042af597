//! How far a caller has received a stream.

/// The field of an event that names its place in the stream.
const ID_FIELD: &[u8] = b"id";
/// The field that makes an event one that callers see.
const DATA_FIELD: &[u8] = b"data";

/// How far a caller has received a stream, by the ids of its events.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamPosition {
    /// Before the first event.
    Start,
    /// After the event with this id.
    After(String),
    /// After an event without an id that can be named, so that another run would repeat events or leave some out.
    Unknown,
}

impl StreamPosition {
    /// Moves past whole events. Their data may be any bytes: engines that generate single bytes end events within a
    /// character.
    pub fn advance(&mut self, events: &[u8]) {
        let (mut id, mut has_data) = (None, false);
        for line in events.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if !line.is_empty() {
                id = field(line, ID_FIELD).or(id);
                has_data |= field(line, DATA_FIELD).is_some();
                continue;
            }
            match std::mem::take(&mut id) {
                Some(id) => *self = Self::after(id),
                None if has_data => *self = Self::Unknown,
                None => {}
            }
            has_data = false;
        }
    }

    /// The id after which another run goes on; `None` at the start and where it is unknown.
    pub fn last_id(&self) -> Option<&str> {
        match self {
            Self::After(id) => Some(id),
            Self::Start | Self::Unknown => None,
        }
    }

    /// An id that no header field can hold can't be told to another engine.
    fn after(id: &[u8]) -> Self {
        let id = std::str::from_utf8(id).map(str::trim).unwrap_or_default();
        match id.is_empty() || id.contains(char::is_control) {
            true => Self::Unknown,
            false => Self::After(id.to_owned()),
        }
    }
}

/// The value of a line if it has this field.
fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let rest = line.strip_prefix(name)?;
    match rest {
        [] => Some(rest),
        [b':', value @ ..] => Some(value),
        _ => None,
    }
}
