//! Service of the whole configuration.

use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::Arc;

use futures_util::Stream;
use futures_util::stream;
use ryerouter_core::config::LogEntry;
use ryerouter_core::identity::ConfigVersion;
use ryerouter_wire::generated::v1;
use ryerouter_wire::generated::v1::configuration_service_server::ConfigurationService;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tonic::{Request, Response, Status};

use crate::control::ChangeLog;

use super::{OperatorRole, RpcContext};

/// Serves calls about the whole configuration.
#[derive(Clone)]
pub(super) struct ConfigurationCalls {
    context: Arc<RpcContext>,
    shutdown: CancellationToken,
}

impl ConfigurationCalls {
    /// Serves until `shutdown`, which ends watches: they would keep the process from stopping.
    pub(super) fn new(context: Arc<RpcContext>, shutdown: CancellationToken) -> Self {
        Self { context, shutdown }
    }
}

#[tonic::async_trait]
impl ConfigurationService for ConfigurationCalls {
    async fn get_configuration(
        &self,
        request: Request<v1::GetConfigurationRequest>,
    ) -> Result<Response<v1::Configuration>, Status> {
        let catalog = self.context.catalog(request.metadata())?;
        Ok(Response::new((&*catalog).into()))
    }

    async fn apply(
        &self,
        request: Request<v1::ApplyRequest>,
    ) -> Result<Response<v1::ApplyResponse>, Status> {
        let written = self.context.write(request).await?;
        Ok(Response::new(v1::ApplyResponse {
            receipt: Some(written.receipt()),
        }))
    }

    type WatchStream = Pin<Box<dyn Stream<Item = Result<v1::WatchEvent, Status>> + Send>>;

    async fn watch(
        &self,
        request: Request<v1::WatchRequest>,
    ) -> Result<Response<Self::WatchStream>, Status> {
        self.context
            .authorize(request.metadata(), OperatorRole::Viewer)?;
        let changes = self.context.control.changes().clone();
        let watcher = Watcher {
            versions: changes.versions(),
            changes,
            told: ConfigVersion(request.into_inner().after_version),
            pending: VecDeque::new(),
            shutdown: self.shutdown.clone(),
        };
        let events = stream::try_unfold(watcher, |mut watcher| async move {
            let event = watcher.next().await?;
            Ok(Some((event, watcher)))
        });
        Ok(Response::new(Box::pin(events)))
    }
}

/// One operator who watches.
struct Watcher {
    changes: ChangeLog,
    versions: watch::Receiver<ConfigVersion>,
    told: ConfigVersion,
    pending: VecDeque<Arc<LogEntry>>,
    shutdown: CancellationToken,
}

impl Watcher {
    async fn wait_for_change(&mut self) -> Result<(), Status> {
        tokio::select! {
            changed = self.versions.changed() => changed.map_err(|_| stopping()),
            () = self.shutdown.cancelled() => Err(stopping()),
        }
    }

    async fn next(&mut self) -> Result<v1::WatchEvent, Status> {
        loop {
            if let Some(entry) = self.pending.pop_front() {
                self.told = entry.version;
                return Ok((&*entry).into());
            }
            // Marked as seen before the log is read, so a change in between is not missed.
            self.versions.borrow_and_update();
            let newer = self.changes.after(self.told);
            self.pending = newer.ok_or_else(|| too_far_behind(self.told))?.into();
            if self.pending.is_empty() {
                self.wait_for_change().await?;
            }
        }
    }
}

fn stopping() -> Status {
    Status::unavailable("node is stopping")
}

fn too_far_behind(told: ConfigVersion) -> Status {
    Status::out_of_range(format!(
        "changes after version {told} are not kept any more; read the whole configuration"
    ))
}
