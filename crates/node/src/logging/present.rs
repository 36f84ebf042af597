//! Values that a log line may lack.

use slog::{KV, Record, Result, Serializer, Value};

/// A key and its value, which a log line leaves out when there is none.
#[derive(Debug, Clone)]
pub(crate) struct Present<T>(pub(crate) &'static str, pub(crate) Option<T>);

impl<T: Value> KV for Present<T> {
    fn serialize(&self, record: &Record<'_>, serializer: &mut dyn Serializer) -> Result {
        match &self.1 {
            Some(value) => value.serialize(record, self.0, serializer),
            None => Ok(()),
        }
    }
}
