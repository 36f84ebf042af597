//! The engines and plain back ends, as this process knows them.

mod begin_times;
mod engine;
mod engine_entry;
mod engine_load;
mod engine_table;
mod gone_conditions;
mod in_flight;
mod known_lives;
mod life;
mod part_times;
mod time_estimate;

pub use begin_times::BeginTimes;
pub use engine::Engine;
pub use engine_entry::{EngineEntry, EngineState};
pub use engine_load::EngineLoad;
pub use engine_table::EngineTable;
pub use in_flight::InFlight;
pub use known_lives::KnownLives;
pub use life::ToldLife;
pub use part_times::{AwaitedPart, PartTimes};
pub use time_estimate::TimeEstimate;
