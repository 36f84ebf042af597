//! Macros that define identifier types.

/// Defines a cheaply cloned text identifier.
macro_rules! text_identifier {
    ($(#[$attribute:meta])* $name:ident) => {
        $(#[$attribute])*
        #[derive(
            Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize,
            serde::Deserialize, derive_more::Display,
        )]
        #[serde(transparent)]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Wraps a text.
            pub fn new(text: impl AsRef<str>) -> Self {
                Self(std::sync::Arc::from(text.as_ref()))
            }

            /// The text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }
    };
}

/// Defines a number identifier.
macro_rules! number_identifier {
    ($(#[$attribute:meta])* $name:ident($number:ty)) => {
        $(#[$attribute])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, serde::Serialize,
            serde::Deserialize, derive_more::Display, derive_more::FromStr,
        )]
        #[serde(transparent)]
        pub struct $name(pub $number);

        impl $name {
            /// The number that follows this one.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    };
}

pub(crate) use number_identifier;
pub(crate) use text_identifier;
