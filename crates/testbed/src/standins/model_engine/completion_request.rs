//! A completion request as an engine reads it.

use serde::Deserialize;
use serde_json::Value;

/// Tokens of an answer whose request names no number.
const USUAL_OUTPUT_TOKENS: u32 = 16;
/// Most tokens of an answer.
const MAX_OUTPUT_TOKENS: u32 = 1_000_000;
/// Bytes of text that make a token, on average.
const BYTES_PER_TOKEN: usize = 4;

/// A completion request as an engine reads it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompletionRequest {
    /// The model it names.
    pub model: String,
    /// The whole prompt as one text.
    pub prompt: String,
    /// Whether it is a chat.
    pub chat: bool,
    /// Whether the answer is to be streamed.
    pub stream: bool,
    /// Tokens the answer will have.
    pub output_tokens: u32,
    /// Text that was delivered already.
    pub continue_tokens: String,
}

#[derive(Deserialize)]
struct Document {
    model: String,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    prompt: Value,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    continue_tokens: String,
}

#[derive(Deserialize)]
struct Message {
    role: String,
    #[serde(default)]
    content: Value,
}

impl CompletionRequest {
    /// Reads a request's body; `chat` says which call it came with.
    ///
    /// # Errors
    ///
    /// The body is not such a request.
    pub fn parse(body: &[u8], chat: bool) -> Result<Self, serde_json::Error> {
        let document: Document = serde_json::from_slice(body)?;
        let prompt = if chat {
            document.messages.iter().map(message_text).collect()
        } else {
            content_text(&document.prompt)
        };
        let wanted = document.max_completion_tokens.or(document.max_tokens);
        let output_tokens = wanted.unwrap_or(USUAL_OUTPUT_TOKENS);
        Ok(Self {
            model: document.model,
            prompt,
            chat,
            stream: document.stream,
            output_tokens: output_tokens.clamp(1, MAX_OUTPUT_TOKENS),
            continue_tokens: document.continue_tokens,
        })
    }

    /// Tokens of the prompt, estimated.
    pub fn prompt_tokens(&self) -> u32 {
        self.prompt.len().div_ceil(BYTES_PER_TOKEN).max(1) as u32
    }
}

fn message_text(message: &Message) -> String {
    format!("{}\n{}\n", message.role, content_text(&message.content))
}

/// The text of a `content` or `prompt` field: a string, or an array of strings and text parts.
fn content_text(content: &Value) -> String {
    match content {
        Value::String(text) => text.clone(),
        Value::Array(parts) => parts.iter().map(part_text).collect(),
        _ => String::new(),
    }
}

fn part_text(part: &Value) -> String {
    let text = part.as_str().or_else(|| part.get("text")?.as_str());
    text.unwrap_or_default().to_owned()
}
