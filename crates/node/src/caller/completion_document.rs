//! The JSON body of a completion request.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::fmt;

use serde::de::{Error as _, MapAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;

use super::CallerError;

/// The top-level fields of a completion request, each still as its caller wrote it.
///
/// The body goes on to the engine as it is. A field given twice is refused: router and engine
/// might each take another one.
#[derive(Debug)]
pub(super) struct CompletionDocument<'a> {
    fields: BTreeMap<Cow<'a, str>, &'a RawValue>,
}

impl<'a> CompletionDocument<'a> {
    pub(super) fn parse(body: &'a [u8]) -> Result<Self, CallerError> {
        serde_json::from_slice(body).map_err(|source| CallerError::InvalidJson { source })
    }

    /// A field that must be there.
    pub(super) fn required<T: Deserialize<'a>>(
        &self,
        field: &'static str,
    ) -> Result<T, CallerError> {
        let value = self.optional(field)?;
        value.ok_or_else(|| CallerError::InvalidField {
            field,
            reason: "is missing".to_owned(),
        })
    }

    /// A field that may be absent or null.
    pub(super) fn optional<T: Deserialize<'a>>(
        &self,
        field: &'static str,
    ) -> Result<Option<T>, CallerError> {
        let Some(raw) = self.fields.get(field) else {
            return Ok(None);
        };
        let parsed: Result<Option<T>, _> = serde_json::from_str(raw.get());
        parsed.map_err(|cause| CallerError::InvalidField {
            field,
            reason: cause.to_string(),
        })
    }

    /// All fields, by name.
    pub(super) fn fields(&self) -> impl Iterator<Item = (&str, &'a RawValue)> {
        self.fields.iter().map(|(name, raw)| (name.as_ref(), *raw))
    }
}

impl<'de: 'a, 'a> Deserialize<'de> for CompletionDocument<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(FieldsVisitor)
    }
}

struct FieldsVisitor;

impl<'de> Visitor<'de> for FieldsVisitor {
    type Value = CompletionDocument<'de>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        let mut fields = BTreeMap::new();
        while let Some((FieldName(name), raw)) = map.next_entry::<FieldName<'de>, &RawValue>()? {
            if fields.contains_key(&name) {
                return Err(A::Error::custom(format!("field '{name}' is given twice")));
            }
            fields.insert(name, raw);
        }
        Ok(CompletionDocument { fields })
    }
}

#[derive(Deserialize)]
struct FieldName<'a>(#[serde(borrow)] Cow<'a, str>);
