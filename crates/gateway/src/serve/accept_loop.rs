//! Accepting connections.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use super::accept_failures::AcceptFailures;
use crate::gateway::Gateway;

/// Wait after an accept that failed, as for want of descriptors: long beside the cost of an accept,
/// short beside the time that a caller has.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Hands each connection that comes to `serve`, until dropped.
pub async fn accept_connections(
    gateway: Rc<Gateway>,
    listener: TcpListener,
    mut serve: impl FnMut(TcpStream),
) {
    let mut failures = AcceptFailures::default();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => serve(stream),
            Err(error) => {
                failures.note(&gateway, &listener, &error);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
