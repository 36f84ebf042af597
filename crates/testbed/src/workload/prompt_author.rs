//! Writes texts of a wanted length.

use std::sync::Arc;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use ryerouter_core::prompt::BYTES_PER_TOKEN;

use super::vocabulary::WORDS;

/// Writes a text of `tokens` tokens that begins with `title`, so that texts with different titles
/// differ from their first block on.
pub(super) fn write_text(title: &str, tokens: u32, rng: &mut ChaCha8Rng) -> Arc<str> {
    let length = (tokens as usize * BYTES_PER_TOKEN).max(title.len());
    let mut text = String::with_capacity(length + LONGEST_WORD);
    text.push_str(title);
    while text.len() < length {
        text.push(' ');
        text.push_str(WORDS[rng.random_range(0..WORDS.len())]);
    }
    text.truncate(length);
    Arc::from(text)
}

const LONGEST_WORD: usize = 16;
