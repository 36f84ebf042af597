//! Asks another node for a tunnel.

use std::net::SocketAddr;

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};

use super::stream::tunnel_stream;
use super::{Answer, EngineStream, Question, TunnelError, TunnelLoss};
use crate::upstream::{ConnectSettings, connect};

/// Maximum length of the first line of a tunnel in bytes.
pub(super) const MAX_LINE_BYTES: u64 = 1_024;

/// Asks the node at `address` for a tunnel; returns the connection to the engine.
pub async fn dial(
    address: SocketAddr,
    question: &Question,
    settings: &ConnectSettings,
) -> Result<(EngineStream, TunnelLoss), TunnelError> {
    let stream = connect(address, settings).await?;
    let (read, mut write) = stream.into_split();
    let mut line = serde_json::to_vec(question).map_err(TunnelError::Unreadable)?;
    line.push(b'\n');
    write.write_all(&line).await?;
    let mut read = BufReader::new(read);
    let mut line = String::new();
    (&mut read)
        .take(MAX_LINE_BYTES)
        .read_line(&mut line)
        .await?;
    match serde_json::from_str(&line).map_err(TunnelError::Unreadable)? {
        Answer::Open => Ok(tunnel_stream(read, write)),
        refusal => Err(TunnelError::Refused(refusal)),
    }
}
