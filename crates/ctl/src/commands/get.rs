//! `ryectl get`.

use ryerouter_core::catalog::{BackEnd, MigrationStage, Pool, Tenant};
use ryerouter_wire::generated::v1;
use ryerouter_wire::generated::v1::back_end_service_client::BackEndServiceClient;
use ryerouter_wire::generated::v1::pool_service_client::PoolServiceClient;
use ryerouter_wire::generated::v1::stage_service_client::StageServiceClient;
use ryerouter_wire::generated::v1::tenant_service_client::TenantServiceClient;

use crate::ExitStatus;
use crate::arguments::GetArguments;
use crate::client::RpcClient;
use crate::ctl_error::CtlError;
use crate::resource_kind::ResourceKind;

use super::Context;
use super::resource_view::print_one;

/// Shows one resource.
pub async fn get(
    arguments: &GetArguments,
    context: &mut Context<'_>,
) -> Result<ExitStatus, CtlError> {
    let client = &context.client;
    let name = &arguments.name;
    let printer = &mut context.printer;
    match ResourceKind::parse(&arguments.kind)? {
        ResourceKind::Tenant => print_one(&get_tenant(client, name).await?, printer)?,
        ResourceKind::Pool => print_one(&get_pool(client, name).await?, printer)?,
        ResourceKind::BackEnd => print_one(&get_back_end(client, name).await?, printer)?,
        ResourceKind::Stage => print_one(&get_stage(client, name).await?, printer)?,
    }
    Ok(ExitStatus::Success)
}

/// Reads a tenant.
pub(super) async fn get_tenant(client: &RpcClient, name: &str) -> Result<Tenant, CtlError> {
    let message = v1::GetTenantRequest {
        name: name.to_owned(),
    };
    let call = |channel, request| async move {
        TenantServiceClient::new(channel).get_tenant(request).await
    };
    Ok(client.read(message, call).await?.try_into()?)
}

/// Reads a pool.
pub(super) async fn get_pool(client: &RpcClient, name: &str) -> Result<Pool, CtlError> {
    let message = v1::GetPoolRequest {
        name: name.to_owned(),
    };
    let call =
        |channel, request| async move { PoolServiceClient::new(channel).get_pool(request).await };
    Ok(client.read(message, call).await?.try_into()?)
}

/// Reads a back end.
pub(super) async fn get_back_end(client: &RpcClient, name: &str) -> Result<BackEnd, CtlError> {
    let message = v1::GetBackEndRequest {
        name: name.to_owned(),
    };
    let call = |channel, request| async move {
        BackEndServiceClient::new(channel)
            .get_back_end(request)
            .await
    };
    Ok(client.read(message, call).await?.try_into()?)
}

/// Reads a stage.
pub(super) async fn get_stage(client: &RpcClient, name: &str) -> Result<MigrationStage, CtlError> {
    let message = v1::GetStageRequest {
        name: name.to_owned(),
    };
    let call =
        |channel, request| async move { StageServiceClient::new(channel).get_stage(request).await };
    Ok(client.read(message, call).await?.try_into()?)
}
