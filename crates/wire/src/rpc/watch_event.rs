//! Accepted changes as operators watch them.

use ryerouter_core::config::LogEntry;

use crate::generated::v1;

impl From<&LogEntry> for v1::WatchEvent {
    fn from(entry: &LogEntry) -> Self {
        Self {
            config_version: entry.version.0,
            change_id: entry.change.change_id.to_string(),
            author: entry.change.author.clone(),
            mutations: entry
                .change
                .mutations
                .iter()
                .map(v1::Mutation::from)
                .filter(|mutation| mutation.change.is_some())
                .collect(),
        }
    }
}
