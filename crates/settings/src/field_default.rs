//! Defaults of fields.

/// Value of a field that the file does not give.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FieldDefault {
    /// The file must give it.
    Required,
    /// It has no value.
    Absent,
    /// A whole number.
    Integer(u64),
    /// A text or an address.
    Text(&'static str),
}
