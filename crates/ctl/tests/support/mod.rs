//! Runs `ryectl` in process against a scripted server.

mod invocation;
mod reaction;
mod scripted_server;
mod scripted_services;
mod server_state;
mod shared_buffer;

pub use invocation::{Outcome, invoke, invoke_with};
pub use reaction::Reaction;
pub use scripted_server::ScriptedServer;
pub use shared_buffer::SharedBuffer;
