//! The router process that runs beside each caller.
//!
//! [`traffic::RunningNode`] serves callers on threads of its own; every decision it carries out is
//! made by [`ryerouter_core::dispatch::Dispatcher`], and every snapshot it obeys comes from the
//! control thread.

mod caller;
pub mod clock;
pub mod command;
pub mod control;
mod engine;
pub mod logging;
pub mod metrics;
pub mod peer;
pub mod platform;
pub mod process;
mod refusal;
pub mod relay;
pub mod reload;
pub mod rpc;
mod service;
pub mod tls;
pub mod traffic;
