//! Connections of callers, and of those who ask for figures and addresses: accepting them, how many
//! may be open, serving one until its end.

mod accept_failures;
mod accept_loop;
mod awaited_bytes;
mod counted_body;
mod descriptor_share;
mod listener;
mod open_connection;
mod open_connections;
mod question_server;
mod request_in_progress;
mod serving;
mod shared_stream;
mod usage;

pub use accept_loop::accept_connections;
pub use awaited_bytes::await_bytes;
pub use descriptor_share::DescriptorShare;
pub use listener::listen;
pub use open_connection::OpenConnection;
pub use open_connections::OpenConnections;
pub use question_server::question_server;
pub use serving::serve_connection;
