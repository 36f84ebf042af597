//! Answers in the shapes of the OpenAI API.

use serde_json::{Value, json};

use super::attempt::Attempt;

/// The event that ends a stream.
pub const DONE: &str = "data: [DONE]\n\n";

/// The event of one token.
pub fn token_event(attempt: &Attempt, index: u32) -> String {
    let head = chunk_head(attempt);
    let token = attempt.text.token(index);
    let choice = match (attempt.request.chat, index) {
        (true, 0) => format!(r#""delta":{{"role":"assistant","content":"{token}"}}"#),
        (true, _) => format!(r#""delta":{{"content":"{token}"}}"#),
        (false, _) => format!(r#""text":"{token}""#),
    };
    format!(
        "id: {index}\ndata: {{{head},\"choices\":[{{\"index\":0,{choice},\"finish_reason\":null}}]}}\n\n"
    )
}

/// The event after the last token, which carries the usage counts.
pub fn last_event(attempt: &Attempt, cached_tokens: u32) -> String {
    let head = chunk_head(attempt);
    let index = attempt.request.output_tokens;
    let usage = usage(attempt, cached_tokens);
    let choice = if attempt.request.chat {
        r#""delta":{}"#
    } else {
        r#""text":"""#
    };
    format!(
        "id: {index}\ndata: {{{head},\"choices\":[{{\"index\":0,{choice},\"finish_reason\":\"length\"}}],\"usage\":{usage}}}\n\n"
    )
}

/// The whole answer of a request that is not streamed.
pub fn whole_answer(attempt: &Attempt, cached_tokens: u32) -> Value {
    let request = &attempt.request;
    let text = attempt.text.text(request.output_tokens);
    let (object, choice) = if request.chat {
        let message = json!({"role": "assistant", "content": text});
        let choice = json!({"index": 0, "message": message, "finish_reason": "length"});
        ("chat.completion", choice)
    } else {
        let choice = json!({"index": 0, "text": text, "finish_reason": "length"});
        ("text_completion", choice)
    };
    json!({
        "id": answer_id(attempt),
        "object": object,
        "created": 0,
        "model": request.model,
        "system_fingerprint": fingerprint(attempt.weights_version),
        "choices": [choice],
        "usage": usage(attempt, cached_tokens),
    })
}

/// How answers name the weights that gave them.
pub fn fingerprint(weights_version: u64) -> String {
    format!("weights-{weights_version}")
}

/// The weights that a fingerprint names.
pub fn weights_of_fingerprint(fingerprint: &str) -> Option<u64> {
    fingerprint.strip_prefix("weights-")?.parse().ok()
}

fn chunk_head(attempt: &Attempt) -> String {
    let object = if attempt.request.chat {
        "chat.completion.chunk"
    } else {
        "text_completion"
    };
    let id = answer_id(attempt);
    let fingerprint = fingerprint(attempt.weights_version);
    let model = Value::from(attempt.request.model.as_str());
    format!(
        r#""id":"{id}","object":"{object}","created":0,"model":{model},"system_fingerprint":"{fingerprint}""#
    )
}

fn answer_id(attempt: &Attempt) -> String {
    format!("cmpl-{:x}", attempt.id.0)
}

fn usage(attempt: &Attempt, cached_tokens: u32) -> Value {
    let output_tokens = attempt.request.output_tokens;
    json!({
        "prompt_tokens": attempt.prompt_tokens,
        "completion_tokens": output_tokens,
        "total_tokens": attempt.prompt_tokens + output_tokens,
        "prompt_tokens_details": {"cached_tokens": cached_tokens},
    })
}
