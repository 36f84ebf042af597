//! What requests are about.

use std::sync::Arc;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use ryerouter_core::prompt::PrefixChainBuilder;

use super::prompt_author::write_text;
use super::tenant_prefix::TenantPrefix;
use super::{Message, ModelPrompt};
use crate::scenario::{ModelWork, RangeSpec};

/// A lot, shipment or shelf of a tenant: the last part of the prompt that requests share.
#[derive(Debug, Clone)]
pub(super) struct Item {
    /// The tenant it belongs to.
    pub tenant: Arc<TenantPrefix>,
    text: Message,
    chain: PrefixChainBuilder,
}

impl Item {
    /// Writes an item of `tokens` tokens.
    pub fn new(tenant: Arc<TenantPrefix>, title: &str, tokens: u32, rng: &mut ChaCha8Rng) -> Self {
        let text = Message {
            role: Message::USER,
            text: write_text(title, tokens, rng),
        };
        let mut chain = tenant.chain.clone();
        chain.push_message(text.role, &text.text);
        Self {
            tenant,
            text,
            chain,
        }
    }

    /// Writes the prompt of one question about it.
    pub fn ask(&self, title: &str, work: &ModelWork, rng: &mut ChaCha8Rng) -> ModelPrompt {
        let tokens = draw(work.question_tokens, rng);
        let question = Message {
            role: Message::USER,
            text: write_text(title, tokens, rng),
        };
        let mut chain = self.chain.clone();
        chain.push_message(question.role, &question.text);
        let prefix = chain.finish();
        let mut messages = self.tenant.messages.clone();
        messages.push(self.text.clone());
        messages.push(question);
        ModelPrompt {
            messages,
            prompt_tokens: prefix.tokens(),
            prefix,
            output_tokens: draw(work.output_tokens, rng),
            priority: work.priority,
        }
    }
}

/// Draws a number of a range.
pub(super) fn draw(range: RangeSpec, rng: &mut ChaCha8Rng) -> u32 {
    rng.random_range(range.least..=range.most)
}
