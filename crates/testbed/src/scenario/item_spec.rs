//! What the requests of a class are about.

use serde::{Deserialize, Serialize};

use super::RangeSpec;

/// What the requests of a class are about: lots, shipments, shelves.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum ItemSpec {
    /// Each item is worked through by one caller: several questions, one after another, then never
    /// again.
    Jobs {
        /// Questions about one item.
        questions: RangeSpec,
        /// Mean time between two questions about one item.
        gap_millis: u64,
    },
    /// Items of a standing catalogue, asked about by many callers; popularity follows Zipf's law.
    Catalogue {
        /// Items of each tenant at once.
        size: u32,
        /// Exponent of Zipf's law; 0 makes all items equally popular.
        zipf_exponent: f64,
        /// Requests after which, on average, an item is replaced by a new one.
        requests_per_item: u32,
        /// Callers that ask.
        callers: u32,
        /// Share of the requests that go to one very hot item.
        hot_share: f64,
        /// Mean time until another, so far unknown item of any tenant is the hot one.
        hot_period_seconds: f64,
        /// Tokens of the hot item.
        hot_item_tokens: u32,
    },
}
