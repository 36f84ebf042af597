//! An attempt that an engine took.

use std::sync::atomic::{AtomicUsize, Ordering};

use ryerouter_core::identity::AttemptId;
use tokio::sync::watch;

use super::AnswerText;
use super::attempt_progress::{AttemptEnd, AttemptProgress};
use super::completion_request::CompletionRequest;

/// An attempt that an engine took.
#[derive(Debug)]
pub struct Attempt {
    /// Its id.
    pub id: AttemptId,
    /// What was asked.
    pub request: CompletionRequest,
    /// What the engine says.
    pub text: AnswerText,
    /// Weights that say it.
    pub weights_version: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// First chunk the engine emits; above 0 when it continues another engine's answer.
    pub first_chunk: u32,
    /// Connections that read it.
    pub readers: AtomicUsize,
    progress: watch::Sender<AttemptProgress>,
}

impl Attempt {
    /// An attempt of which nothing is there yet.
    pub fn new(
        id: AttemptId,
        request: CompletionRequest,
        weights_version: u64,
        prompt_tokens: u32,
        first_chunk: u32,
    ) -> Self {
        let text = AnswerText::new(&request.model, weights_version, &request.prompt);
        let progress = AttemptProgress {
            available: first_chunk,
            end: None,
        };
        Self {
            id,
            request,
            text,
            weights_version,
            prompt_tokens,
            first_chunk,
            readers: AtomicUsize::new(0),
            progress: watch::Sender::new(progress),
        }
    }

    /// Tells readers of a new chunk.
    pub fn add_chunk(&self, index: u32) {
        self.progress
            .send_modify(|progress| progress.available = index + 1);
    }

    /// Tells readers of the end; the first end counts.
    pub fn end(&self, end: AttemptEnd) {
        self.progress.send_if_modified(|progress| {
            let first = progress.end.is_none();
            progress.end.get_or_insert(end);
            first
        });
    }

    /// Follows its progress.
    pub fn follow(&self) -> watch::Receiver<AttemptProgress> {
        self.progress.subscribe()
    }

    /// Whether nobody reads it.
    pub fn is_abandoned(&self) -> bool {
        self.readers.load(Ordering::Acquire) == 0
    }
}
