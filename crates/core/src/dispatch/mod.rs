//! Request handling inside one router process: admission, back-end selection, attempts, retries and
//! the final outcome.
//!
//! A back end is also called an engine here, whether it serves a model or a service pool.
//!
//! [`Dispatcher`] is a state machine without I/O and the only entry point. The node and the
//! simulator pass it [`DispatchEvent`]s and carry out the [`DispatchAction`]s that it returns.

mod assignment;
mod attempt_outcome;
mod attempt_record;
mod candidate;
mod choice;
mod dispatch_action;
mod dispatch_event;
mod dispatch_mechanisms;
mod dispatch_parameters;
mod dispatcher;
mod engine_chooser;
mod engine_observation;
mod engine_record;
mod engine_table;
mod exported_prefixes;
mod final_outcome;
mod known_holder;
mod kv_export;
mod kv_import;
mod moving_average;
mod not_run_reason;
mod observed_load;
mod pool_state;
mod priority;
mod queued_tokens;
mod refusal;
mod refusal_reason;
mod repeatability;
mod request_profile;
mod request_record;
mod resume_point;
mod routing_snapshot;
mod run_state;
mod sent_tokens;
mod tenant_limiter;

pub use assignment::Assignment;
pub use attempt_outcome::AttemptOutcome;
pub use dispatch_action::DispatchAction;
pub use dispatch_event::DispatchEvent;
pub use dispatch_mechanisms::DispatchMechanisms;
pub use dispatch_parameters::DispatchParameters;
pub use dispatcher::Dispatcher;
pub use engine_observation::EngineObservation;
pub use final_outcome::FinalOutcome;
pub use kv_export::KvExport;
pub use kv_import::KvImport;
pub use not_run_reason::NotRunReason;
pub use priority::Priority;
pub use queued_tokens::QueuedTokens;
pub use refusal::Refusal;
pub use refusal_reason::RefusalReason;
pub use repeatability::Repeatability;
pub use request_profile::RequestProfile;
pub use resume_point::ResumePoint;
pub use routing_snapshot::RoutingSnapshot;
pub use run_state::RunState;
