//! Bounds the memory that a node holds for its callers: bodies that are read or wait for their answer, and answers
//! that callers have not taken yet.
//!
//! Bodies are held back first, and answers only where that does not do: what has run is never thrown away. Bytes that
//! wait in the kernel's socket buffers are not counted here; [`MemoryLimits`] leaves room for them.

mod body_shortage;
mod byte_budget;
mod collected_bytes;
mod held_memory;
mod memory_limits;
mod purpose;
mod reservation;
mod turn;

pub use body_shortage::BodyShortage;
pub use byte_budget::ByteBudget;
pub(crate) use collected_bytes::CollectedBytes;
pub use held_memory::HeldMemory;
pub(crate) use memory_limits::MAX_WHOLE_ANSWER;
pub use memory_limits::MemoryLimits;
pub use purpose::Purpose;
pub use reservation::Reservation;
pub use turn::Turn;
