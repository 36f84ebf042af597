//! The scenarios that come with the program.

use derive_more::Display;

/// A scenario that comes with the program.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum BuiltIn {
    /// A reseller of books: overnight appraisals and shelf questions.
    #[display("blue-mahoe")]
    BlueMahoe,
    /// A maker of temperature loggers: release verdicts and driver queries.
    #[display("callaghan")]
    Callaghan,
}

impl BuiltIn {
    /// All of them.
    pub const ALL: [Self; 2] = [Self::BlueMahoe, Self::Callaghan];

    /// The built-in scenario of this name.
    pub fn by_name(name: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|built_in| built_in.to_string() == name)
    }

    /// Its scenario file.
    pub fn text(self) -> &'static str {
        match self {
            Self::BlueMahoe => include_str!("blue_mahoe.toml"),
            Self::Callaghan => include_str!("callaghan.toml"),
        }
    }
}
