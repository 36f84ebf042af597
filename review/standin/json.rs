//! Just enough JSON: finds the raw text of a member of an object.

/// Raw text of the member `name` of the object `text`; `None` when it has none.
pub fn member<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let mut at = skip_space(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return None;
    }
    at += 1;
    loop {
        at = skip_space(bytes, at);
        if bytes.get(at) != Some(&b'"') {
            return None;
        }
        let key_end = end_of_string(bytes, at);
        let key = &text[at + 1..key_end - 1];
        at = skip_space(bytes, key_end) + 1;
        at = skip_space(bytes, at);
        let end = end_of_value(bytes, at);
        if key == name {
            return Some(text[at..end].trim());
        }
        at = skip_space(bytes, end);
        if bytes.get(at) != Some(&b',') {
            return None;
        }
        at += 1;
    }
}

/// The content of a string without escapes.
pub fn unquoted(text: &str) -> &str {
    text.trim_matches('"')
}

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

fn end_of_string(bytes: &[u8], start: usize) -> usize {
    let mut at = start + 1;
    while at < bytes.len() {
        match bytes[at] {
            b'\\' => at += 2,
            b'"' => return at + 1,
            _ => at += 1,
        }
    }
    bytes.len()
}

fn end_of_value(bytes: &[u8], start: usize) -> usize {
    let mut at = start;
    let mut depth = 0;
    while at < bytes.len() {
        match bytes[at] {
            b'"' => {
                at = end_of_string(bytes, at);
                continue;
            }
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth == 0 => return at,
            b'}' | b']' => depth -= 1,
            b',' if depth == 0 => return at,
            _ => {}
        }
        at += 1;
    }
    at
}
