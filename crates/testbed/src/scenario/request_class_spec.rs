//! A class of requests.

use ryerouter_core::dispatch::Priority;
use serde::{Deserialize, Serialize};

use super::{ItemSpec, RangeSpec};

/// A class of requests that arrive independently of each other (Poisson).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RequestClassSpec {
    /// Its name.
    pub name: String,
    /// Requests a second on average.
    pub requests_per_second: f64,
    /// Share of the requests that must run at most once, in thousandths.
    #[serde(default)]
    pub at_most_once_permille: u32,
    /// What they ask for.
    #[serde(flatten)]
    pub work: RequestWork,
}

/// What a request asks for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum RequestWork {
    /// An answer of the model.
    Model(ModelWork),
    /// A call of the plain service pool.
    Service,
}

/// Requests to the model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ModelWork {
    /// Their priority.
    pub priority: Priority,
    /// How long their callers wait for the first token.
    pub deadline_millis: u64,
    /// Tokens of the item a request is about, which all requests about it share.
    pub item_tokens: RangeSpec,
    /// Tokens of the question itself.
    pub question_tokens: RangeSpec,
    /// Tokens of the answer.
    pub output_tokens: RangeSpec,
    /// What they are about.
    pub items: ItemSpec,
}
