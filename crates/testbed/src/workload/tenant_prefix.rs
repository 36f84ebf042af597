//! The part of a prompt that a tenant's requests share.

use rand_chacha::ChaCha8Rng;
use ryerouter_core::identity::{ModelName, TenantName, WeightsVersion};
use ryerouter_core::prompt::{PrefixChainBuilder, PrefixSalt};

use super::Message;
use super::prompt_author::write_text;
use crate::scenario::TenantSpec;

/// House style and instructions of a tenant, with the prefix chain they begin.
#[derive(Debug, Clone)]
pub(super) struct TenantPrefix {
    /// The tenant.
    pub tenant: TenantName,
    /// Its messages.
    pub messages: Vec<Message>,
    /// Its chain so far.
    pub chain: PrefixChainBuilder,
}

impl TenantPrefix {
    /// Writes a tenant's instructions behind the house style.
    pub fn new(
        spec: &TenantSpec,
        house_style: &Message,
        model: &ModelName,
        weights_version: WeightsVersion,
        rng: &mut ChaCha8Rng,
    ) -> Self {
        let tenant = TenantName::new(&spec.name);
        let title = format!("Instructions of {tenant}:");
        let instructions = Message {
            role: Message::SYSTEM,
            text: write_text(&title, spec.instruction_tokens, rng),
        };
        let messages = vec![house_style.clone(), instructions];
        let mut chain = PrefixChainBuilder::new(&PrefixSalt {
            tenant: &tenant,
            model,
            weights_version,
            adapter: None,
        });
        for message in &messages {
            chain.push_message(message.role, &message.text);
        }
        Self {
            tenant,
            messages,
            chain,
        }
    }
}
