//! Collects the faults of a message.

use std::net::SocketAddr;

use ryerouter_core::config::ValidationError;

use super::InvalidMessage;

const MAX_NAME_LENGTH: usize = 63;
const MAX_PERMILLE: u32 = 1_000;
const API_KEY_HASH_LENGTH: usize = 64;

/// Collects the faults of a message, so that all are reported at once.
#[derive(Debug, Default)]
pub struct FaultList {
    faults: Vec<ValidationError>,
}

impl FaultList {
    /// Adds a fault.
    pub fn add(&mut self, field: &str, value: impl ToString, reason: impl ToString) {
        self.faults.push(ValidationError {
            field: field.to_owned(),
            value: value.to_string(),
            reason: reason.to_string(),
        });
    }

    /// Adds the faults of a part of the message.
    pub fn extend(&mut self, invalid: InvalidMessage) {
        self.faults.extend(invalid.faults);
    }

    /// `value` if there are no faults.
    pub fn finish<T>(self, value: T) -> Result<T, InvalidMessage> {
        if self.faults.is_empty() {
            return Ok(value);
        }
        Err(self.into())
    }

    /// Checks a name: 1 to 63 letters, digits, `-`, `_` and `.`.
    pub fn check_name(&mut self, field: &str, name: &str) {
        let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        self.check_text(field, name, allowed, "letters, digits, '-', '_' and '.'");
    }

    /// Checks a model name, which may also hold `/`, `:` and `@`.
    pub fn check_model_name(&mut self, field: &str, name: &str) {
        let allowed = |c: char| c.is_ascii_alphanumeric() || "-_./:@".contains(c);
        let wanted = "letters, digits, '-', '_', '.', '/', ':' and '@'";
        self.check_text(field, name, allowed, wanted);
    }

    /// Reads `IP:PORT`; adds a fault and returns `None` when it is none.
    pub fn parse_address(&mut self, field: &str, text: &str) -> Option<SocketAddr> {
        match text.parse::<SocketAddr>() {
            Ok(address) if address.port() != 0 => Some(address),
            Ok(_) => {
                self.add(field, text, "port 0 cannot be connected to");
                None
            }
            Err(_) => {
                self.add(field, text, "expected IP:PORT, such as 127.0.0.1:8000");
                None
            }
        }
    }

    /// Reads a share in thousandths, 0 to 1000.
    pub fn parse_permille(&mut self, field: &str, value: u32) -> u16 {
        if value > MAX_PERMILLE {
            self.add(field, value, "expected 0 to 1000 thousandths");
        }
        value.min(MAX_PERMILLE) as u16
    }

    /// Checks the SHA-256 of an API key.
    pub fn check_api_key_hash(&mut self, field: &str, hash: &str) {
        let hexadecimal = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
        if hash.len() != API_KEY_HASH_LENGTH || !hash.chars().all(hexadecimal) {
            // The value may be a key sent by mistake, so it is not repeated.
            let reason = "expected a SHA-256 as 64 lower-case hexadecimal digits";
            self.add(field, format!("({} characters)", hash.len()), reason);
        }
    }

    fn check_text(&mut self, field: &str, text: &str, allowed: fn(char) -> bool, wanted: &str) {
        if text.is_empty() {
            self.add(field, "\"\"", "must not be empty");
        } else if text.len() > MAX_NAME_LENGTH {
            let reason = format!("{} characters; at most {MAX_NAME_LENGTH}", text.len());
            self.add(field, text, reason);
        } else if !text.chars().all(allowed) {
            self.add(field, text, format!("only {wanted} are allowed"));
        }
    }
}

impl From<FaultList> for InvalidMessage {
    fn from(list: FaultList) -> Self {
        Self {
            faults: list.faults,
        }
    }
}
