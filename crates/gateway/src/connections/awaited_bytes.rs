//! Waiting for the first bytes of a connection.

use tokio::net::TcpStream;

use super::OpenConnection;

/// Waits until a connection that is not yet served has bytes or has ended, or until `ready`; `false` when it is to be
/// closed before, to make room for another.
pub async fn await_bytes(
    connection: &OpenConnection,
    stream: &TcpStream,
    ready: impl Future<Output = ()>,
) -> bool {
    let mut byte = [0];
    tokio::select! {
        biased;
        () = ready => true,
        // An error shows again when the bytes are read. Readiness alone may be stale.
        _ = stream.peek(&mut byte) => true,
        () = connection.usage().asked_to_close() => false,
    }
}
