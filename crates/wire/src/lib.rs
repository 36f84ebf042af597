//! Everything the project's processes say to each other and to back ends: header names of the
//! engine protocol, objects of the platform's object API, JSON-lines messages between router
//! processes, and the generated operator RPC.

pub mod caller_headers;
pub mod engine_headers;
pub mod generated;
pub mod peer;
pub mod rpc;
