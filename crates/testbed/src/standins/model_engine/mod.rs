//! Stand-in for a model engine: [`crate::engine_model`] behind the engine protocol on a real socket.
//!
//! What an engine says is a deterministic function of model, weights version, prompt and chunk
//! index ([`AnswerText`]), so that whoever sent a prompt can check every whole answer.

mod answer_body;
mod answer_head;
mod answer_text;
mod attempt;
mod attempt_progress;
mod attempt_reader;
mod cache_event_log;
mod chunk_format;
mod completion_request;
mod engine;
mod engine_core;
mod engine_faults;
mod engine_settings;
mod execution_ledger;
mod handler;
mod kv_transfer;
mod load_history;
mod order;
mod prefill_ledger;
mod request_head;
mod stream_fault;
mod taken_counter;

pub use answer_text::AnswerText;
pub use chunk_format::weights_of_fingerprint;
pub use engine::Engine;
pub use engine_faults::EngineFaults;
pub use engine_settings::EngineSettings;
pub use execution_ledger::ExecutionLedger;
pub use order::{EngineRole, Order, OrderRequest};
pub use prefill_ledger::{PrefillLedger, PrefillTotals};
pub use stream_fault::StreamFault;
pub use taken_counter::TakenCounter;
