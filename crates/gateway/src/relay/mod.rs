//! Relaying of engines' answers to callers.

mod event_meter;
mod event_splitter;
mod relay_fault;
mod stream_end;

pub use event_meter::{EventMeter, MeteredBytes};
pub use event_splitter::{EventBatch, EventSplitter};
pub use relay_fault::RelayFault;
pub use stream_end::StreamEnd;
