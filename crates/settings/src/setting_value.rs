//! Value of a field.

use std::net::SocketAddr;
use std::path::PathBuf;

/// Checked value of a field.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingValue {
    /// A name or a choice.
    Text(String),
    /// A whole number.
    Integer(u64),
    /// An address.
    Address(SocketAddr),
    /// Addresses.
    Addresses(Vec<SocketAddr>),
    /// A path.
    File(PathBuf),
}
