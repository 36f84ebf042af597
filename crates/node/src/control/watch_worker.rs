//! Carries out watches of the object API.

use std::collections::BTreeMap;

use ryerouter_core::control::{ControlEvent, ObjectPrefix, StoreRevision, WatchEvent};
use slog::{Logger, info, warn};
use tokio::task::AbortHandle;

use crate::platform::{ObjectClient, PlatformError};

use super::ControlInput;
use super::store_conversion::watch_event;

/// Carries out watches of the object API, one a prefix.
#[derive(Debug)]
pub(super) struct WatchWorker {
    client: ObjectClient,
    input: ControlInput,
    logger: Logger,
    running: BTreeMap<ObjectPrefix, AbortHandle>,
}

impl WatchWorker {
    pub(super) fn new(client: ObjectClient, input: ControlInput, logger: Logger) -> Self {
        Self {
            client,
            input,
            logger,
            running: BTreeMap::new(),
        }
    }

    /// Starts a watch in place of any other of the same prefix.
    pub(super) fn start(&mut self, prefix: ObjectPrefix, from: StoreRevision) {
        let former = self.running.get(&prefix);
        let replaces = former.is_some_and(|task| !task.is_finished());
        info!(self.logger, "watch_started";
            "prefix" => %prefix, "from" => from.0, "replaces" => replaces);
        self.stop(prefix);
        let client = self.client.clone();
        let input = self.input.clone();
        let logger = self.logger.clone();
        let task = tokio::spawn(async move {
            let Err(error) = relay(&client, &input, prefix, from).await;
            warn!(logger, "watch_ended"; "prefix" => %prefix, "cause" => %error);
            let event = end_of_watch(prefix, &error);
            input.deliver(ControlEvent::Watch(event)).await;
        });
        self.running.insert(prefix, task.abort_handle());
    }

    /// Stops a watch; nothing comes from it any more except what is already queued.
    pub(super) fn stop(&mut self, prefix: ObjectPrefix) {
        if let Some(task) = self.running.remove(&prefix) {
            task.abort();
        }
    }
}

/// Passes on what a watch tells until it ends, as every watch does some time.
async fn relay(
    client: &ObjectClient,
    input: &ControlInput,
    prefix: ObjectPrefix,
    from: StoreRevision,
) -> Result<std::convert::Infallible, PlatformError> {
    let mut watch = client.watch(&prefix.to_string(), from.0).await?;
    loop {
        let change = watch.next().await?;
        if let Some(event) = watch_event(change)? {
            input.deliver(ControlEvent::Watch(event)).await;
        }
    }
}

fn end_of_watch(prefix: ObjectPrefix, error: &PlatformError) -> WatchEvent {
    match error {
        PlatformError::Compacted => WatchEvent::Compacted { prefix },
        PlatformError::TooManyReaders { .. } => WatchEvent::TooManyReaders { prefix },
        _ => WatchEvent::Broken { prefix },
    }
}
