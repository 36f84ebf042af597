//! Service of what runs, and why.

use std::sync::Arc;

use ryerouter_core::identity::RequestId;
use ryerouter_wire::generated::v1;
use ryerouter_wire::generated::v1::operations_service_server::OperationsService;
use ryerouter_wire::rpc::node_statuses;
use slog::{info, warn};
use tonic::{Request, Response, Status};

use super::rpc_context::gone;
use super::{OperatorRole, RpcContext};

/// Serves calls about what runs, and why.
#[derive(Clone)]
pub(super) struct OperationsCalls {
    context: Arc<RpcContext>,
}

impl OperationsCalls {
    pub(super) fn new(context: Arc<RpcContext>) -> Self {
        Self { context }
    }
}

#[tonic::async_trait]
impl OperationsService for OperationsCalls {
    async fn status(
        &self,
        request: Request<v1::StatusRequest>,
    ) -> Result<Response<v1::StatusResponse>, Status> {
        let context = &self.context;
        context.authorize(request.metadata(), OperatorRole::Viewer)?;
        let report = context.control.status().await.map_err(gone)?;
        Ok(Response::new(v1::StatusResponse {
            answering_node: context.node.to_string(),
            newest_config_version: report.cluster.newest_config.0,
            object_api_reachable: report.object_api_reachable,
            nodes: node_statuses(&report.cluster, context.clock.now()),
            phase: report.phase.to_string(),
            software_version: env!("CARGO_PKG_VERSION").to_owned(),
        }))
    }

    async fn overview(
        &self,
        request: Request<v1::OverviewRequest>,
    ) -> Result<Response<v1::OverviewResponse>, Status> {
        let metadata = request.metadata();
        self.context.authorize(metadata, OperatorRole::Viewer)?;
        Ok(Response::new(self.context.traffic.overview()))
    }

    async fn explain(
        &self,
        request: Request<v1::ExplainRequest>,
    ) -> Result<Response<v1::ExplainResponse>, Status> {
        let metadata = request.metadata();
        self.context.authorize(metadata, OperatorRole::Viewer)?;
        let request = RequestId::new(request.into_inner().request_id);
        let explained = self.context.traffic.explain(&request);
        explained.map(Response::new).ok_or_else(|| {
            Status::not_found(format!("this node does not remember request {request}"))
        })
    }

    async fn reload(
        &self,
        request: Request<v1::ReloadRequest>,
    ) -> Result<Response<v1::ReloadResponse>, Status> {
        let context = &self.context;
        let metadata = request.metadata();
        let operator = context.authorize(metadata, OperatorRole::Administrator)?;
        let author = operator.name.unwrap_or_default();
        match context.reloader.reload() {
            Ok(report) => {
                info!(context.logger, "reloaded"; "author" => author,
                    "changed" => report.changed.join(","),
                    "restart_needed" => report.restart_needed.join(","));
                Ok(Response::new(v1::ReloadResponse {
                    changed_settings: report.changed,
                    restart_needed_settings: report.restart_needed,
                }))
            }
            Err(error) => {
                warn!(context.logger, "reload_failed"; "author" => author, "cause" => %error);
                Err(Status::failed_precondition(error.to_string()))
            }
        }
    }
}
