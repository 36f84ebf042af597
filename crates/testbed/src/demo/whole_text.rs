//! Checks the text of a model's answer.

use super::{CallEnd, CallWork};
use crate::standins::model_engine::{AnswerText, weights_of_fingerprint};

/// Checks the text of a model's answer against what the weights it names must have said.
pub fn check_text(work: &CallWork, text: &str, fingerprints: &[String]) -> CallEnd {
    let CallWork::Model {
        model,
        prompt,
        output_tokens,
        ..
    } = work
    else {
        return wrong("a model answered a plain request");
    };
    let [fingerprint] = fingerprints else {
        return wrong(format!("weights of the answer: {fingerprints:?}"));
    };
    let Some(weights_version) = weights_of_fingerprint(fingerprint) else {
        return wrong(format!("weights of the answer: {fingerprint:?}"));
    };
    let expected = AnswerText::new(model, weights_version, prompt).text(*output_tokens);
    if text == expected {
        return CallEnd::Right {
            weights_version: Some(weights_version),
        };
    }
    let same = text.bytes().zip(expected.bytes());
    let same = same.take_while(|(said, due)| said == due).count();
    wrong(format!(
        "text differs after {same} bytes: {} of {} bytes came",
        text.len(),
        expected.len()
    ))
}

/// A wrong answer.
pub fn wrong(reason: impl Into<String>) -> CallEnd {
    CallEnd::Wrong {
        reason: reason.into(),
    }
}
