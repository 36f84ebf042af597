//! `ryectl`: the operators' command line over the operator RPC.
//!
//! [`run`] carries out one invocation against an [`Environment`], so that tests can run it in
//! process against a scripted server.

mod arguments;
mod change_source;
mod client;
mod commands;
mod ctl_error;
mod difference;
mod environment;
mod exit_status;
mod output;
mod resource_file;
mod resource_kind;
mod run;

pub use client::RetryPolicy;
pub use environment::Environment;
pub use exit_status::ExitStatus;
pub use run::run;
