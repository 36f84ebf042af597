//! Tunnels: connections to engines through other nodes.
//!
//! A node that has lost its links to an engine asks another node to connect to it and to pass on the bytes. The request
//! stays with the node that took it from the caller: it chooses the engine, retries, and counts limits and budgets.
//! See docs/design/tunnels.md.

mod answer;
mod dial;
mod error;
mod frame;
mod frame_codec;
mod probe;
mod question;
mod serve;
mod service;
mod stream;

pub use answer::Answer;
pub use dial::dial;
pub use error::TunnelError;
pub use frame::Frame;
pub use frame_codec::FrameCodec;
pub use probe::probe_paths;
pub use question::Question;
pub use serve::serve_tunnels;
pub use service::TunnelService;
pub use stream::{EngineStream, TunnelLoss};
