//! The HTTP server under every stand-in.

mod client;
mod handler;
mod http_server;
mod query;
mod reply;

pub use client::{CallError, HttpClient};
pub use handler::Handler;
pub use http_server::HttpServer;
pub use query::query_value;
pub use reply::{Body, Reply, body_from_stream, empty, json, json_text, text};
