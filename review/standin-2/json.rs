//! A small JSON reader and writer for the store.

use std::collections::BTreeMap;

/// A JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Object(BTreeMap<String, Value>),
}

impl Value {
    pub fn parse(text: &str) -> Option<Value> {
        let bytes: Vec<char> = text.chars().collect();
        let mut reader = Reader {
            chars: bytes,
            at: 0,
        };
        let value = reader.value()?;
        reader.blanks();
        (reader.at == reader.chars.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Value> {
        match self {
            Value::Object(fields) => fields.get(name),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Value::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn whole(&self) -> Option<u64> {
        match self {
            Value::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn print(&self) -> String {
        match self {
            Value::Null => "null".to_owned(),
            Value::Bool(value) => value.to_string(),
            Value::Number(number) if number.fract() == 0.0 && number.abs() < 9e15 => {
                (*number as i64).to_string()
            }
            Value::Number(number) => number.to_string(),
            Value::Text(text) => quoted(text),
            Value::List(items) => {
                let items: Vec<_> = items.iter().map(Value::print).collect();
                format!("[{}]", items.join(","))
            }
            Value::Object(fields) => {
                let fields = fields.iter();
                let fields: Vec<_> = fields
                    .map(|(name, value)| format!("{}:{}", quoted(name), value.print()))
                    .collect();
                format!("{{{}}}", fields.join(","))
            }
        }
    }
}

pub fn quoted(text: &str) -> String {
    let mut out = String::from("\"");
    for sign in text.chars() {
        match sign {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            sign if (sign as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", sign as u32)),
            sign => out.push(sign),
        }
    }
    out.push('"');
    out
}

struct Reader {
    chars: Vec<char>,
    at: usize,
}

impl Reader {
    fn blanks(&mut self) {
        while self
            .chars
            .get(self.at)
            .is_some_and(|sign| sign.is_whitespace())
        {
            self.at += 1;
        }
    }

    fn next(&mut self) -> Option<char> {
        let sign = *self.chars.get(self.at)?;
        self.at += 1;
        Some(sign)
    }

    fn take(&mut self, word: &str, value: Value) -> Option<Value> {
        word.chars()
            .all(|sign| self.next() == Some(sign))
            .then_some(value)
    }

    fn value(&mut self) -> Option<Value> {
        self.blanks();
        match *self.chars.get(self.at)? {
            '{' => self.object(),
            '[' => self.list(),
            '"' => self.text().map(Value::Text),
            't' => self.take("true", Value::Bool(true)),
            'f' => self.take("false", Value::Bool(false)),
            'n' => self.take("null", Value::Null),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Value> {
        let start = self.at;
        let is_part = |sign: &char| sign.is_ascii_digit() || "+-.eE".contains(*sign);
        while self.chars.get(self.at).is_some_and(is_part) {
            self.at += 1;
        }
        let text: String = self.chars[start..self.at].iter().collect();
        text.parse().ok().map(Value::Number)
    }

    fn text(&mut self) -> Option<String> {
        self.next();
        let mut text = String::new();
        loop {
            match self.next()? {
                '"' => return Some(text),
                '\\' => match self.next()? {
                    'n' => text.push('\n'),
                    't' => text.push('\t'),
                    'r' => text.push('\r'),
                    'b' => text.push('\u{8}'),
                    'f' => text.push('\u{c}'),
                    'u' => {
                        let digits: String = (0..4).map_while(|_| self.next()).collect();
                        let code = u32::from_str_radix(&digits, 16).ok()?;
                        text.push(char::from_u32(code).unwrap_or('\u{fffd}'));
                    }
                    sign => text.push(sign),
                },
                sign => text.push(sign),
            }
        }
    }

    fn list(&mut self) -> Option<Value> {
        self.next();
        let mut items = Vec::new();
        loop {
            self.blanks();
            if self.chars.get(self.at) == Some(&']') {
                self.at += 1;
                return Some(Value::List(items));
            }
            items.push(self.value()?);
            self.blanks();
            if self.chars.get(self.at) == Some(&',') {
                self.at += 1;
            }
        }
    }

    fn object(&mut self) -> Option<Value> {
        self.next();
        let mut fields = BTreeMap::new();
        loop {
            self.blanks();
            match self.chars.get(self.at)? {
                '}' => {
                    self.at += 1;
                    return Some(Value::Object(fields));
                }
                ',' => self.at += 1,
                '"' => {
                    let name = self.text()?;
                    self.blanks();
                    (self.next()? == ':').then_some(())?;
                    fields.insert(name, self.value()?);
                }
                _ => return None,
            }
        }
    }
}
