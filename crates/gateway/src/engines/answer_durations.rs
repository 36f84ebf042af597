//! How long whole answers take, by route.

use std::collections::HashMap;
use std::time::Duration;

use ryerouter_core::Timestamp;

/// Answers count for this time and up to twice as long.
const SPAN: Duration = Duration::from_secs(30);
/// Fewer answers of a route tell nothing of the next one.
const MIN_ANSWERS: u32 = 20;
/// An answer may take this many times as long as the longest of them.
const SPREAD: u32 = 2;

/// The longest of the recent answers of each route, from the head of the request to the end of the answer.
#[derive(Debug, Default)]
pub struct AnswerDurations {
    current: HashMap<String, Longest>,
    former: HashMap<String, Longest>,
    began_at: Timestamp,
}

#[derive(Debug, Clone, Copy, Default)]
struct Longest {
    answers: u32,
    duration: Duration,
    /// Most tokens that one of the requests could generate; 0 without a prompt.
    output_tokens: u32,
}

impl AnswerDurations {
    /// Records an answer that was received completely.
    pub fn note(&mut self, route: &str, took: Duration, output_tokens: u32, now: Timestamp) {
        if now.since(self.began_at) >= SPAN {
            self.former = std::mem::take(&mut self.current);
            self.began_at = now;
        }
        if !self.current.contains_key(route) {
            self.current.insert(route.to_owned(), Longest::default());
        }
        if let Some(longest) = self.current.get_mut(route) {
            longest.answers += 1;
            longest.duration = longest.duration.max(took);
            longest.output_tokens = longest.output_tokens.max(output_tokens);
        }
    }

    /// How long the answer to a request may take that generates at most so many tokens; `None` if too little is known.
    pub fn bound(&self, route: &str, output_tokens: u32) -> Option<Duration> {
        let known = [&self.current, &self.former].map(|span| span.get(route).copied());
        let [current, former] = known.map(Option::unwrap_or_default);
        let answers = current.answers + former.answers;
        let most_tokens = current.output_tokens.max(former.output_tokens);
        let is_known = answers >= MIN_ANSWERS && output_tokens <= most_tokens;
        is_known.then(|| current.duration.max(former.duration) * SPREAD)
    }
}
