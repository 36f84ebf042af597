//! Checks completion requests and cuts their prompts.

use std::borrow::Cow;

use ryerouter_core::identity::TenantName;
use ryerouter_core::prompt::{PrefixChain, PrefixChainBuilder, PrefixSalt, prefix_sample};
use serde_json::value::RawValue;

use crate::traffic::{ModelRoute, RoutingView};

use super::CallerError;
use super::completion_document::CompletionDocument;

/// Fields that do not change what the engine computes for the prompt. Every other field is part
/// of the prompt's prefix hashes, so that no two prompts that differ share cache entries.
const FIELDS_OUTSIDE_PROMPT: &[&str] = &[
    "frequency_penalty",
    "logit_bias",
    "logprobs",
    "max_completion_tokens",
    "max_tokens",
    "messages",
    "metadata",
    "model",
    "n",
    "presence_penalty",
    "prompt",
    "seed",
    "service_tier",
    "stop",
    "store",
    "stream",
    "stream_options",
    "temperature",
    "top_logprobs",
    "top_p",
    "user",
];

/// Tokens of an answer whose request sets no limit (estimate).
const USUAL_OUTPUT_TOKENS: u32 = 512;

/// Which field holds the prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PromptField {
    /// `messages`, of a chat completion.
    Messages,
    /// `prompt`, of a plain completion.
    Prompt,
}

/// What is taken from a completion request.
#[derive(Debug)]
pub(super) struct CompletionIntake {
    pub(super) route: ModelRoute,
    pub(super) stream: bool,
    pub(super) output_tokens: u32,
    pub(super) prefix: PrefixChain,
}

impl CompletionIntake {
    pub(super) fn parse(
        body: &[u8],
        prompt_field: PromptField,
        tenant: &TenantName,
        view: &RoutingView,
    ) -> Result<Self, CallerError> {
        let document = CompletionDocument::parse(body)?;
        let model: Cow<'_, str> = document.required("model")?;
        let route = view.model(&model);
        let route = route.ok_or_else(|| CallerError::UnknownModel {
            model: model.into_owned(),
        })?;
        check_choices(&document)?;
        Ok(Self {
            stream: document.optional("stream")?.unwrap_or(false),
            output_tokens: output_tokens(&document)?,
            prefix: prefix_chain(&document, prompt_field, tenant, route)?,
            route: route.clone(),
        })
    }
}

/// A stream of several choices could not be continued by another engine.
fn check_choices(document: &CompletionDocument<'_>) -> Result<(), CallerError> {
    match document.optional::<u32>("n")? {
        None | Some(1) => Ok(()),
        Some(_) => Err(CallerError::InvalidField {
            field: "n",
            reason: "must be 1".to_owned(),
        }),
    }
}

fn output_tokens(document: &CompletionDocument<'_>) -> Result<u32, CallerError> {
    let newer: Option<u32> = document.optional("max_completion_tokens")?;
    let older: Option<u32> = document.optional("max_tokens")?;
    Ok(newer.or(older).unwrap_or(USUAL_OUTPUT_TOKENS))
}

/// Cuts the prompt as its caller wrote it, without decoding: prompts that read the same but are
/// written differently share no prefix, which costs a cache hit and never correctness.
fn prefix_chain(
    document: &CompletionDocument<'_>,
    prompt_field: PromptField,
    tenant: &TenantName,
    route: &ModelRoute,
) -> Result<PrefixChain, CallerError> {
    let weights_version = if route.rollout.is_some() {
        let sample = prefix_sample(tenant, beginning(document, prompt_field)?);
        route.weights_for(sample)
    } else {
        route.weights_version
    };
    let mut builder = PrefixChainBuilder::new(&PrefixSalt {
        tenant,
        model: &route.model,
        weights_version,
        adapter: route.adapter.as_ref(),
    });
    // Tool definitions and the like stand before the messages in what the engine reads.
    for (name, value) in document.fields() {
        if !FIELDS_OUTSIDE_PROMPT.contains(&name) {
            builder.push_message(name, value.get());
        }
    }
    match prompt_field {
        PromptField::Messages => {
            let messages: Vec<&RawValue> = document.required("messages")?;
            if messages.is_empty() {
                return Err(CallerError::InvalidField {
                    field: "messages",
                    reason: "must hold at least one message".to_owned(),
                });
            }
            for message in messages {
                builder.push_message("", message.get());
            }
        }
        PromptField::Prompt => {
            let prompt: &RawValue = document.required("prompt")?;
            builder.push_message("", prompt.get());
        }
    }
    Ok(builder.finish())
}

/// The first message or the prompt, as its caller wrote it.
fn beginning<'a>(
    document: &CompletionDocument<'a>,
    prompt_field: PromptField,
) -> Result<&'a str, CallerError> {
    match prompt_field {
        PromptField::Messages => {
            let messages: Vec<&RawValue> = document.required("messages")?;
            Ok(messages.first().map_or("", |message| message.get()))
        }
        PromptField::Prompt => Ok(document.required::<&RawValue>("prompt")?.get()),
    }
}
