//! The machine list as a running server.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::handler::MachineListHandler;
use super::{Machine, MachineState};
use crate::standins::http::HttpServer;

/// The machine list as a running server. What it tells is `lag` old.
#[derive(Debug)]
pub struct MachineList {
    handler: Arc<MachineListHandler>,
    server: HttpServer,
}

impl MachineList {
    /// Starts with an empty list that lags by `lag`.
    ///
    /// # Errors
    ///
    /// No port can be bound.
    pub async fn start(lag: Duration) -> io::Result<Self> {
        let handler = Arc::new(MachineListHandler::new(lag));
        let server = HttpServer::start(Arc::clone(&handler)).await?;
        Ok(Self { handler, server })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Puts a machine on the list, or changes it.
    pub fn set(&self, machine: Machine) {
        self.handler.change(|machines| {
            machines.insert(machine.address, machine);
        });
    }

    /// Changes the state of a machine; nothing happens when it is not on the list.
    pub fn set_state(&self, address: SocketAddr, state: MachineState) {
        self.handler.change(|machines| {
            if let Some(machine) = machines.get_mut(&address) {
                machine.state = state;
            }
        });
    }

    /// Takes a machine off the list.
    pub fn remove(&self, address: SocketAddr) {
        self.handler.change(|machines| {
            machines.remove(&address);
        });
    }

    /// Whether the list answers at all.
    pub fn set_down(&self, down: bool) {
        self.handler.set_down(down);
    }
}
