//! Migration stages that move by themselves: step by step, held while the target is worse than the
//! source, taken back when a bound is broken.
//!
//! [`MigrationDirector`] runs on the holder of the director lease and judges what processes have
//! measured. `docs/design/migration.md` gives the reasons.

mod latency_histogram;
mod migration_action;
mod migration_director;
mod migration_event;
mod migration_settings;
mod side_measurement;
mod stage_judge;
mod stage_measurement;
mod stage_message;
mod stage_meter;
mod stage_verdict;

pub use latency_histogram::LatencyHistogram;
pub use migration_action::MigrationAction;
pub use migration_director::MigrationDirector;
pub use migration_event::MigrationEvent;
pub use migration_settings::MigrationSettings;
pub use side_measurement::SideMeasurement;
pub use stage_judge::judge;
pub use stage_measurement::StageMeasurement;
pub use stage_message::StageMessage;
pub use stage_meter::StageMeter;
pub use stage_verdict::StageVerdict;
