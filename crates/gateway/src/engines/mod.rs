//! State of the engines and plain back ends, as known to this process.

mod answer_durations;
mod departures;
mod engine;
mod engine_entry;
mod engine_load;
mod engine_table;
mod in_flight;
mod incarnation_order;
mod known_incarnations;
mod phase_times;
mod removed_conditions;
mod start_delays;
mod time_estimate;

pub use answer_durations::AnswerDurations;
pub use departures::Departures;
pub use engine::Engine;
pub use engine_entry::{EngineEntry, EngineState};
pub use engine_load::EngineLoad;
pub use engine_table::EngineTable;
pub use in_flight::InFlight;
pub use incarnation_order::IncarnationOrder;
pub use known_incarnations::KnownIncarnations;
pub use phase_times::{AnswerPhase, PhaseTimes};
pub use start_delays::StartDelays;
pub use time_estimate::TimeEstimate;
