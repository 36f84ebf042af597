//! Seeded load: the requests of a scenario, as real text and as prefix chains.
//!
//! [`Workload::generate`] draws all arrivals before a run, so that every policy that is compared
//! meets exactly the same ones. Prompts are nested: house style, tenant, item, question.

mod arrival;
mod catalogue_items;
mod generated_request;
mod hot_item;
mod item;
mod job_items;
mod message;
mod model_prompt;
mod prompt_author;
mod session;
mod tenant_prefix;
mod vocabulary;
mod weighted_choice;
mod workload_generator;

#[cfg(test)]
mod workload_tests;

pub use generated_request::{GeneratedRequest, GeneratedWork};
pub use message::Message;
pub use model_prompt::ModelPrompt;
pub use session::SessionId;
pub use workload_generator::Workload;
