//! Catching up with another node instead of asking the source.
//!
//! Calls to the source cost its operator money and are limited in number, so in a large deployment
//! one node of a zone reads it and the others ask that node: in one datagram each way they learn
//! what has changed, and until when their copies were certainly current. A node that gets no good
//! answer asks another node, and in the end the source itself. The ways weighed, and what happens
//! when the reader is lost, are in docs/design/reading.md.

mod answer;
mod change;
mod changes;
mod entry_group;
mod exchange;
mod holder_preference;
mod list_fill;
mod list_transfer;
mod question;
mod transfer;

pub use answer::{Answer, Mark};
pub use change::EngineChange;
pub use changes::Changes;
pub use entry_group::EntryGroup;
pub use exchange::Exchange;
pub use holder_preference::HolderPreference;
pub use list_fill::ListFill;
pub use list_transfer::{ListFetch, ListPiece, ListTransfer, WholeList};
pub use question::Question;
pub use transfer::{Chunk, Fetch, Offer, Transfer};
