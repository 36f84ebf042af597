//! Accepting connections.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use super::accept_failures::AcceptFailures;
use super::{OpenConnection, OpenConnections};

/// Wait after an accept that failed, as for want of descriptors: long beside the cost of an accept,
/// short beside the time that a caller has.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Hands each connection that comes to `serve`, until dropped.
///
/// There are never more than are allowed and one: whoever comes is served at once, and the
/// connection that has been idle longest makes room.
pub async fn accept_connections(
    connections: Rc<OpenConnections>,
    listener: TcpListener,
    mut serve: impl FnMut(TcpStream, OpenConnection),
) {
    let mut failures = AcceptFailures::default();
    loop {
        connections.until_within_bound().await;
        match listener.accept().await {
            Ok((stream, _)) => serve(stream, connections.open()),
            Err(error) => {
                failures.note(connections.gateway(), &listener, &error);
                // Whatever else took the descriptors, this is what can be given back.
                connections.close_longest_idle();
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
