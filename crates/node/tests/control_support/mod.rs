//! Support of the tests of the control side.

#![allow(
    dead_code,
    unused_imports,
    reason = "each test file is a crate of its own and uses its part"
)]

mod certificates;
mod object_api;
mod requests;
mod scripted_engine;
mod test_node;

pub use certificates::{Authority, TestDirectory};
pub use object_api::{Fault, ObjectApi};
pub use requests::{create_tenant, write_options};
pub use scripted_engine::{OrderReply, ScriptedEngine};
pub use test_node::{TestNode, TestNodeOptions, until_counted, within_deadline};
