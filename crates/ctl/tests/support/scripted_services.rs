//! Services of the scripted server.

use std::sync::Arc;

use parking_lot::Mutex;
use ryerouter_core::catalog::BackEndState;
use ryerouter_core::config::{Change, Expectation, Mutation, Resource};
use ryerouter_core::identity::{BackEndName, ChangeId, StageName, TenantName};
use ryerouter_wire::generated::v1;
use ryerouter_wire::generated::v1::back_end_service_server::BackEndService;
use ryerouter_wire::generated::v1::configuration_service_server::ConfigurationService;
use ryerouter_wire::generated::v1::operations_service_server::OperationsService;
use ryerouter_wire::generated::v1::stage_service_server::StageService;
use ryerouter_wire::generated::v1::tenant_service_server::TenantService;
use ryerouter_wire::rpc::{InvalidMessage, RequestedChange};
use tonic::{Request, Response, Status};

use super::server_state::ServerState;

/// Services of the scripted server. What no test calls is not implemented.
#[derive(Clone)]
pub struct ScriptedServices {
    state: Arc<Mutex<ServerState>>,
}

impl ScriptedServices {
    /// Services over `state`.
    pub fn new(state: Arc<Mutex<ServerState>>) -> Self {
        Self { state }
    }

    fn write<M>(&self, request: Request<M>) -> Result<v1::WriteReceipt, Status>
    where
        RequestedChange: TryFrom<M, Error = InvalidMessage>,
    {
        let requested = RequestedChange::try_from(request.into_inner())?;
        self.state.lock().write(requested)
    }

    fn note_key<M>(&self, request: &Request<M>) {
        let key = request.metadata().get("authorization");
        let key = key.and_then(|value| value.to_str().ok()).map(str::to_owned);
        self.state.lock().keys.extend(key);
    }
}

#[tonic::async_trait]
impl TenantService for ScriptedServices {
    async fn create_tenant(
        &self,
        _: Request<v1::CreateTenantRequest>,
    ) -> Result<Response<v1::WriteTenantResponse>, Status> {
        Err(Status::unimplemented("not scripted"))
    }

    async fn get_tenant(
        &self,
        request: Request<v1::GetTenantRequest>,
    ) -> Result<Response<v1::Tenant>, Status> {
        let name = TenantName::new(request.into_inner().name);
        let state = self.state.lock();
        let found = state.catalog.tenants.get(&name);
        let found = found.ok_or_else(|| Status::not_found(format!("tenant {name}")))?;
        Ok(Response::new(found.into()))
    }

    async fn list_tenants(
        &self,
        request: Request<v1::ListTenantsRequest>,
    ) -> Result<Response<v1::ListTenantsResponse>, Status> {
        self.note_key(&request);
        let state = self.state.lock();
        Ok(Response::new(v1::ListTenantsResponse {
            tenants: state.catalog.tenants.values().map(Into::into).collect(),
            config_version: state.catalog.version.0,
        }))
    }

    async fn update_tenant(
        &self,
        _: Request<v1::UpdateTenantRequest>,
    ) -> Result<Response<v1::WriteTenantResponse>, Status> {
        Err(Status::unimplemented("not scripted"))
    }

    async fn delete_tenant(
        &self,
        request: Request<v1::DeleteTenantRequest>,
    ) -> Result<Response<v1::DeleteTenantResponse>, Status> {
        let receipt = Some(self.write(request)?);
        Ok(Response::new(v1::DeleteTenantResponse { receipt }))
    }
}

#[tonic::async_trait]
impl BackEndService for ScriptedServices {
    async fn create_back_end(
        &self,
        _: Request<v1::CreateBackEndRequest>,
    ) -> Result<Response<v1::WriteBackEndResponse>, Status> {
        Err(Status::unimplemented("not scripted"))
    }

    async fn get_back_end(
        &self,
        request: Request<v1::GetBackEndRequest>,
    ) -> Result<Response<v1::BackEnd>, Status> {
        let name = BackEndName::new(request.into_inner().name);
        let state = self.state.lock();
        let found = state.catalog.back_ends.get(&name);
        let found = found.ok_or_else(|| Status::not_found(format!("back end {name}")))?;
        Ok(Response::new(found.into()))
    }

    async fn list_back_ends(
        &self,
        _: Request<v1::ListBackEndsRequest>,
    ) -> Result<Response<v1::ListBackEndsResponse>, Status> {
        Err(Status::unimplemented("not scripted"))
    }

    async fn update_back_end(
        &self,
        _: Request<v1::UpdateBackEndRequest>,
    ) -> Result<Response<v1::WriteBackEndResponse>, Status> {
        Err(Status::unimplemented("not scripted"))
    }

    async fn delete_back_end(
        &self,
        _: Request<v1::DeleteBackEndRequest>,
    ) -> Result<Response<v1::DeleteBackEndResponse>, Status> {
        Err(Status::unimplemented("not scripted"))
    }

    async fn drain_back_end(
        &self,
        request: Request<v1::DrainBackEndRequest>,
    ) -> Result<Response<v1::WriteBackEndResponse>, Status> {
        let request = request.into_inner();
        let options = request.options.unwrap_or_default();
        let mut state = self.state.lock();
        let found = state
            .catalog
            .back_ends
            .get(&BackEndName::new(&request.name));
        let mut back_end = found
            .cloned()
            .ok_or_else(|| Status::not_found(request.name))?;
        back_end.state = match request.undo {
            true => BackEndState::Active,
            false => BackEndState::Draining,
        };
        let mutation = Mutation::Put {
            resource: Resource::BackEnd(back_end),
            expected: Expectation::Any,
        };
        let receipt = state.write(RequestedChange {
            change: Change {
                change_id: ChangeId::new(options.change_id),
                author: options.author,
                mutations: vec![mutation],
            },
            dry_run: options.dry_run,
        })?;
        Ok(Response::new(v1::WriteBackEndResponse {
            back_end: None,
            receipt: Some(receipt),
        }))
    }
}

#[tonic::async_trait]
impl StageService for ScriptedServices {
    async fn create_stage(
        &self,
        request: Request<v1::CreateStageRequest>,
    ) -> Result<Response<v1::WriteStageResponse>, Status> {
        let receipt = Some(self.write(request)?);
        let stage = None;
        Ok(Response::new(v1::WriteStageResponse { stage, receipt }))
    }

    async fn get_stage(
        &self,
        request: Request<v1::GetStageRequest>,
    ) -> Result<Response<v1::Stage>, Status> {
        let name = StageName::new(request.into_inner().name);
        let state = self.state.lock();
        let found = state.catalog.stages.get(&name);
        let found = found.ok_or_else(|| Status::not_found(format!("stage {name}")))?;
        Ok(Response::new(found.into()))
    }

    async fn list_stages(
        &self,
        _: Request<v1::ListStagesRequest>,
    ) -> Result<Response<v1::ListStagesResponse>, Status> {
        Err(Status::unimplemented("not scripted"))
    }

    async fn update_stage(
        &self,
        request: Request<v1::UpdateStageRequest>,
    ) -> Result<Response<v1::WriteStageResponse>, Status> {
        let receipt = Some(self.write(request)?);
        let stage = None;
        Ok(Response::new(v1::WriteStageResponse { stage, receipt }))
    }

    async fn delete_stage(
        &self,
        _: Request<v1::DeleteStageRequest>,
    ) -> Result<Response<v1::DeleteStageResponse>, Status> {
        Err(Status::unimplemented("not scripted"))
    }
}

#[tonic::async_trait]
impl ConfigurationService for ScriptedServices {
    type WatchStream = tokio_stream::Iter<std::vec::IntoIter<Result<v1::WatchEvent, Status>>>;

    async fn get_configuration(
        &self,
        _: Request<v1::GetConfigurationRequest>,
    ) -> Result<Response<v1::Configuration>, Status> {
        Ok(Response::new((&self.state.lock().catalog).into()))
    }

    async fn apply(
        &self,
        request: Request<v1::ApplyRequest>,
    ) -> Result<Response<v1::ApplyResponse>, Status> {
        let receipt = Some(self.write(request)?);
        Ok(Response::new(v1::ApplyResponse { receipt }))
    }

    async fn watch(
        &self,
        request: Request<v1::WatchRequest>,
    ) -> Result<Response<Self::WatchStream>, Status> {
        let after = request.into_inner().after_version;
        let state = self.state.lock();
        let entries = state.log.iter().filter(|entry| entry.version.0 > after);
        let events: Vec<_> = entries.map(|entry| Ok(entry.into())).collect();
        Ok(Response::new(tokio_stream::iter(events)))
    }
}

#[tonic::async_trait]
impl OperationsService for ScriptedServices {
    async fn status(
        &self,
        _: Request<v1::StatusRequest>,
    ) -> Result<Response<v1::StatusResponse>, Status> {
        let mut state = self.state.lock();
        let newest = state.catalog.version.0;
        let lag = state.lags.pop_front().unwrap_or(0);
        let node = |name: &str, state: v1::NodeState, config_version| v1::NodeStatus {
            name: name.to_owned(),
            state: state.into(),
            config_version,
            last_heard_ms: Some(7),
            ..v1::NodeStatus::default()
        };
        Ok(Response::new(v1::StatusResponse {
            answering_node: "n1".to_owned(),
            newest_config_version: newest,
            object_api_reachable: true,
            nodes: vec![
                node("n1", v1::NodeState::Alive, newest),
                node("n2", v1::NodeState::Alive, newest.saturating_sub(lag)),
                node("n3", v1::NodeState::Failed, 0),
            ],
            phase: "serving".to_owned(),
            software_version: "0.0.0".to_owned(),
        }))
    }

    async fn overview(
        &self,
        _: Request<v1::OverviewRequest>,
    ) -> Result<Response<v1::OverviewResponse>, Status> {
        Ok(Response::new(v1::OverviewResponse {
            answering_node: "n1".to_owned(),
            window_ms: 10_000,
            config_version: 4,
            pools: vec![v1::PoolOverview {
                pool: "shelf".to_owned(),
                prefix_hit_rate: 0.875,
                first_token_p99_ms: 41.25,
                ..v1::PoolOverview::default()
            }],
            refusals: vec![v1::RefusalCount {
                reason: "queue_full".to_owned(),
                count: 3,
            }],
            ..v1::OverviewResponse::default()
        }))
    }

    async fn explain(
        &self,
        request: Request<v1::ExplainRequest>,
    ) -> Result<Response<v1::ExplainResponse>, Status> {
        let request_id = request.into_inner().request_id;
        if request_id != "r1" {
            return Err(Status::not_found("not remembered"));
        }
        Ok(Response::new(v1::ExplainResponse {
            request_id,
            attempts: vec![v1::ExplainAttempt {
                number: 1,
                back_end: "shelf-2".to_owned(),
                run_state: "ran".to_owned(),
                ..v1::ExplainAttempt::default()
            }],
            ..v1::ExplainResponse::default()
        }))
    }

    async fn reload(
        &self,
        _: Request<v1::ReloadRequest>,
    ) -> Result<Response<v1::ReloadResponse>, Status> {
        Ok(Response::new(v1::ReloadResponse {
            changed_settings: vec!["log.level".to_owned()],
            restart_needed_settings: vec!["zone".to_owned()],
        }))
    }
}
