//! A node over real sockets with scripted back ends.
#![allow(dead_code, unused_imports, reason = "each test file uses its own part")]

mod back_end;
mod caller;
mod claims;
mod cluster;
mod script;

pub use back_end::{ScriptedBackEnd, SeenRequest};
pub use caller::{Caller, CallerAnswer, read};
pub use claims::ScriptedClaims;
pub use cluster::{Cluster, KEY, MODEL, OTHER_KEY, ServiceCluster, granted, test_settings};
pub use script::{Script, chunk_event, done_event, last_event, stream_events};
