//! Relaying of engines' answers to callers.

mod event_meter;
mod event_splitter;
mod filler_meter;
mod relay_fault;
mod stream_end;
mod stream_position;
mod transfer_meter;

pub use event_meter::{EventMeter, MeteredBytes};
pub use event_splitter::EventSplitter;
pub use filler_meter::FillerMeter;
pub use relay_fault::RelayFault;
pub use stream_end::StreamEnd;
pub use stream_position::StreamPosition;
pub use transfer_meter::TransferMeter;
