//! Reads the list of machines.

use std::time::Duration;

use ryerouter_core::control::ControlEvent;
use slog::{Logger, warn};
use tokio::task::AbortHandle;
use tokio::time::MissedTickBehavior;

use crate::platform::MachineClient;

use super::ControlInput;

/// Reads the list of machines again and again while this node is one of its few readers.
#[derive(Debug)]
pub(super) struct MachinePoller {
    client: MachineClient,
    interval: Duration,
    input: ControlInput,
    logger: Logger,
    running: Option<AbortHandle>,
}

impl MachinePoller {
    pub(super) fn new(
        client: MachineClient,
        interval: Duration,
        input: ControlInput,
        logger: Logger,
    ) -> Self {
        Self {
            client,
            interval,
            input,
            logger,
            running: None,
        }
    }

    pub(super) fn start(&mut self) {
        if self.running.is_some() {
            return;
        }
        let client = self.client.clone();
        let input = self.input.clone();
        let logger = self.logger.clone();
        let mut interval = tokio::time::interval(self.interval);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let task = tokio::spawn(async move {
            loop {
                interval.tick().await;
                match client.list().await {
                    Ok(machines) => input.deliver(ControlEvent::MachineListRead(machines)).await,
                    Err(error) => warn!(logger, "machine_list_unread"; "cause" => %error),
                }
            }
        });
        self.running = Some(task.abort_handle());
    }

    pub(super) fn stop(&mut self) {
        if let Some(task) = self.running.take() {
            task.abort();
        }
    }
}
