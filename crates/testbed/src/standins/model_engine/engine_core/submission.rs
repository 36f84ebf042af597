//! Intake of requests.

use std::sync::Arc;

use ryerouter_core::dispatch::NotRunReason;

use super::{EngineCore, EngineState};
use crate::engine_model::{EngineEvent, EngineOutput, EngineRequest, ImportedPrefix};
use crate::standins::kept_cache::KeptPrefix;
use crate::standins::model_engine::attempt::Attempt;
use crate::standins::model_engine::attempt_progress::AttemptEnd;
use crate::standins::model_engine::attempt_reader::AttemptReader;
use crate::standins::model_engine::completion_request::CompletionRequest;
use crate::standins::model_engine::prefill_ledger::PrefixOwner;
use crate::standins::model_engine::request_head::RequestHead;

impl EngineCore {
    /// Takes a request.
    ///
    /// # Errors
    ///
    /// It did not run and never will.
    pub fn submit(
        self: &Arc<Self>,
        head: &RequestHead,
        request: CompletionRequest,
        kv_import: Option<ImportedPrefix>,
    ) -> Result<AttemptReader, NotRunReason> {
        let mut state = self.state.lock();
        if state.attempts.contains_key(&head.attempt) {
            return Err(NotRunReason::Rejected);
        }
        let weights_version = state.model.status().weights_version.0;
        let first_chunk = head.continue_from.unwrap_or(0);
        let prompt_tokens = prompt_tokens(head, &request);
        let engine_request = engine_request(head, &request, prompt_tokens, kv_import);
        let prompt = request.prompt.clone();
        let model = request.model.clone();
        let attempt = Attempt::new(
            head.attempt,
            request,
            weights_version,
            prompt_tokens,
            first_chunk,
        );
        let attempt = Arc::new(attempt);
        if first_chunk > 0 && attempt.text.text(first_chunk) != attempt.request.continue_tokens {
            self.settings.ledger.wrong_continuation();
            return Err(NotRunReason::Rejected);
        }
        self.run(&mut state, attempt.clone(), engine_request)?;
        if let Some(reference) = head.kv_export {
            let kept = KeptPrefix {
                tokens: reference.tokens,
                tenant: head.tenant.clone(),
                weights_version,
            };
            state.exports.insert(head.attempt, (reference, kept));
        }
        drop(state);
        self.taken.add();
        if first_chunk == 0 {
            self.settings.executions.note(&prompt);
        }
        let owner = PrefixOwner {
            tenant: head.tenant.clone(),
            model,
            weights_version,
        };
        let hashes = head.prefix.blocks.iter().map(|block| block.hash);
        self.settings.ledger.used(hashes, &owner);
        Ok(AttemptReader::new(Arc::clone(self), attempt))
    }

    fn run(
        self: &Arc<Self>,
        state: &mut EngineState,
        attempt: Arc<Attempt>,
        request: EngineRequest,
    ) -> Result<(), NotRunReason> {
        let id = attempt.id;
        let all_delivered = request.first_chunk >= request.output_tokens;
        let mut outputs = Vec::new();
        state.attempts.insert(id, Arc::clone(&attempt));
        if all_delivered {
            attempt.end(AttemptEnd::Finished { cached_tokens: 0 });
            return Ok(());
        }
        let submit = EngineEvent::Submit(Box::new(request));
        state.model.handle(submit, self.now(), &mut outputs);
        let refused = outputs.iter().find_map(|output| match output {
            EngineOutput::Refused { attempt, reason } if *attempt == id => Some(*reason),
            _ => None,
        });
        if refused.is_some() {
            state.attempts.remove(&id);
        }
        self.settle(state, outputs);
        refused.map_or(Ok(()), Err)
    }
}

/// Tokens of the prompt: what the chain says when it says more than the estimate.
fn prompt_tokens(head: &RequestHead, request: &CompletionRequest) -> u32 {
    let chain_tokens = head
        .prefix
        .blocks
        .last()
        .map_or(0, |block| block.end_tokens);
    request.prompt_tokens().max(chain_tokens)
}

fn engine_request(
    head: &RequestHead,
    request: &CompletionRequest,
    prompt_tokens: u32,
    kv_import: Option<ImportedPrefix>,
) -> EngineRequest {
    EngineRequest {
        attempt: head.attempt,
        prefix: head.prefix.clone(),
        prompt_tokens,
        output_tokens: request.output_tokens,
        first_chunk: head.continue_from.unwrap_or(0),
        priority: head.priority,
        incarnation: head.incarnation,
        weights_version: head.weights_version,
        kv_import,
        kv_export: head.kv_export.map(|reference| reference.prefix),
    }
}
