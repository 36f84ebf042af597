//! The way of an answer from a back end to its caller.
//!
//! A stream's bytes are passed on as they came: events are found and their index checked, but no
//! chunk is parsed or written anew.

mod attempt_guard;
mod chunk_order;
mod chunk_placement;
mod delivered_text;
mod event_buffer;
mod event_fields;
mod event_stream;
mod pass_through_body;
mod prompt_tokens_details;
mod relay_body;
mod relay_fault;
mod request_exchange;
mod silence_timer;
mod stream_progress;
mod usage;
mod whole_answer;

pub(crate) use attempt_guard::AttemptGuard;
pub use chunk_order::ChunkOrder;
pub use chunk_placement::ChunkPlacement;
pub use delivered_text::DeliveredText;
pub use event_buffer::EventBuffer;
pub use event_fields::EventFields;
pub use event_stream::EventStream;
pub(crate) use pass_through_body::PassThroughBody;
use prompt_tokens_details::PromptTokensDetails;
pub(crate) use relay_body::RelayBody;
pub use relay_fault::RelayFault;
pub(crate) use request_exchange::{NextAnswer, OpenAnswer, RequestExchange};
use silence_timer::SilenceTimer;
pub use stream_progress::StreamProgress;
pub use usage::Usage;
pub(crate) use whole_answer::{WholeAnswer, read_whole};
