//! An item of news.

/// An item of news.
#[derive(Debug, Clone)]
pub struct NewsItem<V> {
    /// The news.
    pub value: V,
    /// Its length in bytes as JSON.
    pub encoded_length: usize,
    /// How many messages have carried it.
    pub told: u32,
}
