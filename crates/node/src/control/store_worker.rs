//! Carries out calls to the object API.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use ryerouter_core::control::{
    ControlEvent, StoreAnswer, StoreCall, StoreRequestId, StoreRevision, StoreVersion,
};

use crate::platform::{ObjectClient, PlatformError};

use super::ControlInput;
use super::store_conversion::{answer_of_error, object_condition, stored_object};

/// Carries out calls to the object API; each gets exactly one answer.
#[derive(Debug, Clone)]
pub(super) struct StoreWorker {
    client: ObjectClient,
    input: ControlInput,
    reachable: Arc<AtomicBool>,
}

impl StoreWorker {
    pub(super) fn new(client: ObjectClient, input: ControlInput) -> Self {
        Self {
            client,
            input,
            reachable: Arc::default(),
        }
    }

    /// Whether the object API answered the latest call.
    pub(super) fn is_reachable(&self) -> bool {
        self.reachable.load(Ordering::Relaxed)
    }

    pub(super) fn start(&self, id: StoreRequestId, call: StoreCall) {
        let worker = self.clone();
        tokio::spawn(async move {
            let answer = worker.carry_out(call).await;
            let answer = answer.unwrap_or_else(answer_of_error);
            let answered = !matches!(answer, StoreAnswer::Failed(_));
            worker.reachable.store(answered, Ordering::Relaxed);
            let event = ControlEvent::StoreAnswered { id, answer };
            worker.input.deliver(event).await;
        });
    }

    async fn carry_out(&self, call: StoreCall) -> Result<StoreAnswer, PlatformError> {
        match call {
            StoreCall::Get { key } => {
                let found = self.client.get(&key.to_string()).await?;
                let object = found.map(stored_object).transpose()?.flatten();
                Ok(object.map_or(StoreAnswer::NotFound, StoreAnswer::Found))
            }
            StoreCall::List { prefix } => {
                let list = self.client.list(&prefix.to_string()).await?;
                let objects: Result<Vec<_>, _> = list
                    .objects
                    .into_iter()
                    .filter_map(|object| stored_object(object).transpose())
                    .collect();
                Ok(StoreAnswer::Listed {
                    revision: StoreRevision(list.revision),
                    objects: objects?,
                })
            }
            StoreCall::Put {
                key,
                value,
                precondition,
            } => {
                let condition = object_condition(precondition);
                let written = self.client.put(&key.to_string(), &value, condition).await?;
                let version = StoreVersion(written);
                Ok(StoreAnswer::Written { version })
            }
            StoreCall::Delete { key, version } => {
                self.client.delete(&key.to_string(), version.0).await?;
                Ok(StoreAnswer::Deleted)
            }
        }
    }
}
