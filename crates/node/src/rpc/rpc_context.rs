//! What the services of the operator RPC share.

use std::sync::Arc;

use arc_swap::ArcSwap;
use ryerouter_core::catalog::Catalog;
use ryerouter_core::config::{Change, ChangeAccepted, Mutation, Resource};
use ryerouter_core::identity::{NodeName, ResourceVersion};
use ryerouter_core::lifecycle::NodePhase;
use ryerouter_wire::generated::v1;
use ryerouter_wire::rpc::{InvalidMessage, RequestedChange, refusal_status, write_receipt};
use slog::{Logger, info, warn};
use tonic::metadata::MetadataMap;
use tonic::{Request, Status};

use crate::clock::Clock;
use crate::control::{ControlGone, ControlHandle};
use crate::reload::Reloader;

use super::{Operator, OperatorAccess, OperatorRole, TrafficInsight};

/// What the services of the operator RPC share.
pub struct RpcContext {
    /// Name of this node.
    pub node: NodeName,
    /// The control thread.
    pub control: ControlHandle,
    /// Who may call what; replaced when keys are read again.
    pub access: Arc<ArcSwap<OperatorAccess>>,
    /// The traffic side.
    pub traffic: Arc<dyn TrafficInsight>,
    /// Reads settings and keys again.
    pub reloader: Arc<dyn Reloader>,
    /// The clock of the process.
    pub clock: Clock,
    /// Where calls are logged.
    pub logger: Logger,
}

impl RpcContext {
    /// The operator who makes a call, if the key's role is at least `needed`.
    pub(super) fn authorize(
        &self,
        metadata: &MetadataMap,
        needed: OperatorRole,
    ) -> Result<Operator, Status> {
        let access = self.access.load();
        access.authorize(metadata, needed).inspect_err(|status| {
            warn!(self.logger, "operator_refused"; "reason" => status.message());
        })
    }

    /// The configuration in force.
    pub(super) fn catalog(&self, metadata: &MetadataMap) -> Result<Arc<Catalog>, Status> {
        self.authorize(metadata, OperatorRole::Viewer)?;
        if *self.control.phases().borrow() == NodePhase::Starting {
            return Err(Status::unavailable(
                "node is starting and has no configuration yet",
            ));
        }
        Ok(Arc::clone(&self.control.snapshots().borrow().catalog))
    }

    /// Makes the change that a request asks for.
    pub(super) async fn write<M>(&self, request: Request<M>) -> Result<WrittenChange, Status>
    where
        RequestedChange: TryFrom<M, Error = InvalidMessage>,
    {
        let operator = self.authorize(request.metadata(), OperatorRole::Editor)?;
        let requested = RequestedChange::try_from(request.into_inner())?;
        self.submit(requested, operator).await
    }

    /// Makes a change in the name of an operator.
    pub(super) async fn submit(
        &self,
        requested: RequestedChange,
        operator: Operator,
    ) -> Result<WrittenChange, Status> {
        let RequestedChange {
            mut change,
            dry_run,
        } = requested;
        // A key says who it is; without keys the caller's word is all there is.
        if let Some(name) = operator.name {
            change.author = name;
        }
        change.mutations.iter_mut().for_each(clear_version);
        let answer = self.control.change(change.clone(), dry_run).await;
        match answer.map_err(gone)? {
            Ok(accepted) => {
                info!(self.logger, "change_accepted"; "change_id" => change.change_id.as_str(),
                    "author" => &change.author, "config_version" => accepted.version.0,
                    "dry_run" => accepted.dry_run, "already_made" => accepted.repeated);
                Ok(WrittenChange { change, accepted })
            }
            Err(refusal) => {
                warn!(self.logger, "change_refused"; "change_id" => change.change_id.as_str(),
                    "author" => &change.author, "reason" => %refusal);
                Err(refusal_status(&refusal))
            }
        }
    }
}

/// An accepted change.
pub(super) struct WrittenChange {
    change: Change,
    accepted: ChangeAccepted,
}

impl WrittenChange {
    pub(super) fn receipt(&self) -> v1::WriteReceipt {
        write_receipt(&self.change.change_id, self.accepted)
    }

    /// The first resource that the change wrote, as it is in force.
    pub(super) fn resource(&self) -> Option<Resource> {
        let written = self
            .change
            .mutations
            .iter()
            .find_map(|mutation| match mutation {
                Mutation::Put { resource, .. } => Some(resource.clone()),
                Mutation::Delete { .. } => None,
            });
        let mut resource = written?;
        set_version(&mut resource, ResourceVersion(self.accepted.version.0));
        Some(resource)
    }
}

pub(super) fn gone(_: ControlGone) -> Status {
    Status::unavailable("node is stopping")
}

/// The version inside a written resource has no meaning, and must not make two sends of the same
/// change differ.
fn clear_version(mutation: &mut Mutation) {
    if let Mutation::Put { resource, .. } = mutation {
        set_version(resource, ResourceVersion::default());
    }
}

fn set_version(resource: &mut Resource, version: ResourceVersion) {
    match resource {
        Resource::Tenant(tenant) => tenant.version = version,
        Resource::Pool(pool) => pool.version = version,
        Resource::BackEnd(back_end) => back_end.version = version,
        Resource::Stage(stage) => stage.version = version,
        Resource::ClaimRoster(roster) => roster.version = version,
        Resource::StageProgress(progress) => progress.version = version,
        Resource::Rollout(rollout) => rollout.version = version,
    }
}
