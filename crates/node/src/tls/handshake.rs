//! Time limit of TLS handshakes.

use std::io;
use std::time::Duration;

/// Longest time for the handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Waits for a handshake.
///
/// # Errors
///
/// It failed, or took longer than it may ([`io::ErrorKind::TimedOut`]).
pub(super) async fn finish_handshake<T>(
    handshake: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    let finished = tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake).await;
    finished.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}
