//! Opening connections.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// How connections are opened and watched.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConnectSettings {
    /// Longest time until a connection is up.
    pub timeout: Duration,
    /// A peer that acknowledges nothing for so long counts as gone.
    pub silence_limit: Duration,
    /// Probes of an idle connection go out this often.
    pub probe_interval: Duration,
}

impl Default for ConnectSettings {
    fn default() -> Self {
        Self {
            timeout: Duration::from_millis(400),
            silence_limit: Duration::from_millis(2_500),
            probe_interval: Duration::from_secs(1),
        }
    }
}

/// Opens a connection that notices a silent peer.
pub async fn connect(address: SocketAddr, settings: &ConnectSettings) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(settings.timeout, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    watch_for_silence(&stream, settings)?;
    Ok(stream)
}

/// Sets the options by which a connection notices a silent peer.
pub fn watch_for_silence(stream: &TcpStream, settings: &ConnectSettings) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(settings.probe_interval)
        .with_interval(settings.probe_interval);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(settings.silence_limit))
}
