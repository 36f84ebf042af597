//! Kinds of fields.

use std::net::SocketAddr;
use std::path::PathBuf;

use derive_more::Display;

use super::SettingValue;

const MAX_NAME_LENGTH: usize = 63;

/// Which values a field takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum FieldKind {
    /// A name.
    #[display("1 to 63 letters, digits, '-', '_' and '.'")]
    Name,
    /// An address to listen on; port 0 takes a free port.
    #[display("IP:PORT; port 0 takes a free one")]
    ListenAddress,
    /// An address to connect to.
    #[display("IP:PORT, port not 0")]
    Address,
    /// Addresses to connect to.
    #[display("list of IP:PORT, port not 0")]
    Addresses,
    /// A whole number.
    #[display("{min} to {max}")]
    Integer {
        /// The smallest allowed.
        min: u64,
        /// The largest allowed.
        max: u64,
    },
    /// A path of a file.
    #[display("path of a file")]
    File,
    /// One of a few words.
    #[display("one of {}", _0.join(", "))]
    Choice(&'static [&'static str]),
}

impl FieldKind {
    /// Reads a text as it stands in an override; the error is the reason.
    pub(crate) fn parse_override(&self, text: &str) -> Result<SettingValue, String> {
        match self {
            Self::Integer { .. } => match text.replace('_', "").parse() {
                Ok(number) => self.check_integer(number),
                Err(_) => Err(format!("expected a whole number, {self}")),
            },
            Self::Addresses => {
                let parts = text
                    .split(',')
                    .map(str::trim)
                    .filter(|part| !part.is_empty());
                self.check_list(&parts.map(str::to_owned).collect::<Vec<_>>())
            }
            _ => self.check_text(text),
        }
    }

    /// Checks a text.
    pub(crate) fn check_text(&self, text: &str) -> Result<SettingValue, String> {
        match self {
            Self::Name => check_name(text),
            Self::ListenAddress => parse_address(text, true).map(SettingValue::Address),
            Self::Address => parse_address(text, false).map(SettingValue::Address),
            Self::File if text.is_empty() => Err("must not be empty".to_owned()),
            Self::File => Ok(SettingValue::File(PathBuf::from(text))),
            Self::Choice(words) if words.contains(&text) => Ok(SettingValue::Text(text.to_owned())),
            Self::Choice(_) => Err(format!("expected {self}")),
            Self::Addresses => Err(format!("expected a {self}")),
            Self::Integer { .. } => Err(format!("expected a whole number, {self}")),
        }
    }

    /// Checks a whole number.
    pub(crate) fn check_integer(&self, number: i128) -> Result<SettingValue, String> {
        let Self::Integer { min, max } = self else {
            return Err(format!("expected {self}"));
        };
        match u64::try_from(number) {
            Ok(number) if (*min..=*max).contains(&number) => Ok(SettingValue::Integer(number)),
            _ => Err(format!("expected {self}")),
        }
    }

    /// Checks a list of texts.
    pub(crate) fn check_list(&self, texts: &[String]) -> Result<SettingValue, String> {
        if *self != Self::Addresses {
            return Err(format!("expected {self}"));
        }
        let addresses = texts.iter().map(|text| parse_address(text, false));
        let addresses = addresses.collect::<Result<Vec<_>, _>>()?;
        Ok(SettingValue::Addresses(addresses))
    }
}

fn check_name(text: &str) -> Result<SettingValue, String> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    let fits = (1..=MAX_NAME_LENGTH).contains(&text.len());
    if fits && text.chars().all(allowed) {
        return Ok(SettingValue::Text(text.to_owned()));
    }
    Err(format!("expected {}", FieldKind::Name))
}

fn parse_address(text: &str, zero_port: bool) -> Result<SocketAddr, String> {
    match text.parse::<SocketAddr>() {
        Ok(address) if zero_port || address.port() != 0 => Ok(address),
        Ok(_) => Err("port 0 cannot be connected to".to_owned()),
        Err(_) => Err(format!("{text:?} is no IP:PORT, such as 10.0.0.7:7946")),
    }
}
