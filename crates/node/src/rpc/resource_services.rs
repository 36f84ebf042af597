//! Services of the four kinds of resources.

use std::sync::Arc;

use ryerouter_core::catalog::BackEndState;
use ryerouter_core::config::{Change, Expectation, Mutation, Resource};
use ryerouter_core::identity::{BackEndName, ChangeId, PoolName, StageName, TenantName};
use ryerouter_wire::generated::v1;
use ryerouter_wire::generated::v1::back_end_service_server::BackEndService;
use ryerouter_wire::generated::v1::pool_service_server::PoolService;
use ryerouter_wire::generated::v1::stage_service_server::StageService;
use ryerouter_wire::generated::v1::tenant_service_server::TenantService;
use ryerouter_wire::rpc::RequestedChange;
use tonic::{Code, Request, Response, Status};

use super::rpc_context::WrittenChange;
use super::{OperatorRole, RpcContext};

/// Serves calls about resources.
#[derive(Clone)]
pub(super) struct ResourceServices {
    context: Arc<RpcContext>,
}

impl ResourceServices {
    pub(super) fn new(context: Arc<RpcContext>) -> Self {
        Self { context }
    }
}

/// Implements the service of one kind of resource.
macro_rules! resource_service {
    (
        $service:ident, $kind:ident, $name:ident, $field:ident, $catalog_field:ident,
        $create:ident($create_request:ident), $get:ident($get_request:ident),
        $list:ident($list_request:ident) -> $list_response:ident { $list_field:ident },
        $update:ident($update_request:ident) -> $write_response:ident,
        $delete:ident($delete_request:ident) -> $delete_response:ident
        $(, $extra:item)*
    ) => {
        impl From<WrittenChange> for v1::$write_response {
            fn from(written: WrittenChange) -> Self {
                let resource = match written.resource() {
                    Some(Resource::$kind(resource)) => Some((&resource).into()),
                    _ => None,
                };
                Self {
                    $field: resource,
                    receipt: Some(written.receipt()),
                }
            }
        }

        #[tonic::async_trait]
        impl $service for ResourceServices {
            async fn $create(
                &self,
                request: Request<v1::$create_request>,
            ) -> Result<Response<v1::$write_response>, Status> {
                let written = self.context.write(request).await?;
                Ok(Response::new(written.into()))
            }

            async fn $get(
                &self,
                request: Request<v1::$get_request>,
            ) -> Result<Response<v1::$kind>, Status> {
                let catalog = self.context.catalog(request.metadata())?;
                let name = $name::new(request.into_inner().name);
                let found = catalog.$catalog_field.get(&name);
                let resource = found.ok_or_else(|| not_found(stringify!($field), name.as_str()))?;
                Ok(Response::new(resource.into()))
            }

            async fn $list(
                &self,
                request: Request<v1::$list_request>,
            ) -> Result<Response<v1::$list_response>, Status> {
                let catalog = self.context.catalog(request.metadata())?;
                Ok(Response::new(v1::$list_response {
                    $list_field: catalog.$catalog_field.values().map(Into::into).collect(),
                    config_version: catalog.version.0,
                }))
            }

            async fn $update(
                &self,
                request: Request<v1::$update_request>,
            ) -> Result<Response<v1::$write_response>, Status> {
                let written = self.context.write(request).await?;
                Ok(Response::new(written.into()))
            }

            async fn $delete(
                &self,
                request: Request<v1::$delete_request>,
            ) -> Result<Response<v1::$delete_response>, Status> {
                let written = self.context.write(request).await?;
                Ok(Response::new(v1::$delete_response {
                    receipt: Some(written.receipt()),
                }))
            }

            $($extra)*
        }
    };
}

resource_service!(
    TenantService, Tenant, TenantName, tenant, tenants,
    create_tenant(CreateTenantRequest), get_tenant(GetTenantRequest),
    list_tenants(ListTenantsRequest) -> ListTenantsResponse { tenants },
    update_tenant(UpdateTenantRequest) -> WriteTenantResponse,
    delete_tenant(DeleteTenantRequest) -> DeleteTenantResponse
);
resource_service!(
    PoolService, Pool, PoolName, pool, pools,
    create_pool(CreatePoolRequest), get_pool(GetPoolRequest),
    list_pools(ListPoolsRequest) -> ListPoolsResponse { pools },
    update_pool(UpdatePoolRequest) -> WritePoolResponse,
    delete_pool(DeletePoolRequest) -> DeletePoolResponse
);
resource_service!(
    StageService, Stage, StageName, stage, stages,
    create_stage(CreateStageRequest), get_stage(GetStageRequest),
    list_stages(ListStagesRequest) -> ListStagesResponse { stages },
    update_stage(UpdateStageRequest) -> WriteStageResponse,
    delete_stage(DeleteStageRequest) -> DeleteStageResponse
);
resource_service!(
    BackEndService, BackEnd, BackEndName, back_end, back_ends,
    create_back_end(CreateBackEndRequest), get_back_end(GetBackEndRequest),
    list_back_ends(ListBackEndsRequest) -> ListBackEndsResponse { back_ends },
    update_back_end(UpdateBackEndRequest) -> WriteBackEndResponse,
    delete_back_end(DeleteBackEndRequest) -> DeleteBackEndResponse,
    async fn drain_back_end(
        &self,
        request: Request<v1::DrainBackEndRequest>,
    ) -> Result<Response<v1::WriteBackEndResponse>, Status> {
        self.drain(request).await.map(|written| Response::new(written.into()))
    }
);

/// Attempts to drain whatever version is in force while others keep changing the back end.
const DRAIN_ATTEMPTS: usize = 5;

impl ResourceServices {
    async fn drain(
        &self,
        request: Request<v1::DrainBackEndRequest>,
    ) -> Result<WrittenChange, Status> {
        let metadata = request.metadata();
        let operator = self.context.authorize(metadata, OperatorRole::Editor)?;
        let catalog_of = || self.context.catalog(request.metadata());
        let wanted = request.get_ref();
        let options = wanted.options.clone().unwrap_or_default();
        let any_version = options.expected_version == 0;
        let mut attempts = if any_version { DRAIN_ATTEMPTS } else { 1 };
        loop {
            let mutation = match self.mutation_made_before(wanted, &options) {
                Some(made) => made,
                None => drain_mutation(&*catalog_of()?, wanted, options.expected_version)?,
            };
            let requested = RequestedChange::of_mutation(mutation, options.clone())?;
            let outcome = self.context.submit(requested, operator.clone()).await;
            attempts -= 1;
            match outcome {
                Err(status) if status.code() == Code::Aborted && attempts > 0 => continue,
                outcome => return outcome,
            }
        }
    }

    /// What an earlier send of the same call wrote. Building it anew from the configuration in
    /// force would make it another change under the same change id.
    fn mutation_made_before(
        &self,
        wanted: &v1::DrainBackEndRequest,
        options: &v1::WriteOptions,
    ) -> Option<Mutation> {
        let change_id = ChangeId::new(&options.change_id);
        let entry = self.context.control.changes().find(&change_id)?;
        let Change { mutations, .. } = &entry.change;
        match mutations.as_slice() {
            [
                made @ Mutation::Put {
                    resource: Resource::BackEnd(back_end),
                    ..
                },
            ] if back_end.name.as_str() == wanted.name
                && back_end.state == wanted_state(wanted) =>
            {
                Some(made.clone())
            }
            _ => None,
        }
    }
}

fn drain_mutation(
    catalog: &ryerouter_core::catalog::Catalog,
    wanted: &v1::DrainBackEndRequest,
    expected_version: u64,
) -> Result<Mutation, Status> {
    let name = BackEndName::new(&wanted.name);
    let found = catalog.back_ends.get(&name);
    let mut back_end = found
        .cloned()
        .ok_or_else(|| not_found("back end", &wanted.name))?;
    let expected = match expected_version {
        0 => back_end.version,
        version => ryerouter_core::identity::ResourceVersion(version),
    };
    back_end.state = wanted_state(wanted);
    Ok(Mutation::Put {
        resource: Resource::BackEnd(back_end),
        expected: Expectation::Version(expected),
    })
}

fn wanted_state(wanted: &v1::DrainBackEndRequest) -> BackEndState {
    if wanted.undo {
        BackEndState::Active
    } else {
        BackEndState::Draining
    }
}

fn not_found(kind: &str, name: &str) -> Status {
    Status::not_found(format!("no {} named {name:?}", kind.replace('_', " ")))
}
