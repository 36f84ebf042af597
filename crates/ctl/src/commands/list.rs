//! `ryectl list`.

use ryerouter_wire::generated::v1;
use ryerouter_wire::generated::v1::back_end_service_client::BackEndServiceClient;
use ryerouter_wire::generated::v1::pool_service_client::PoolServiceClient;
use ryerouter_wire::generated::v1::stage_service_client::StageServiceClient;
use ryerouter_wire::generated::v1::tenant_service_client::TenantServiceClient;
use ryerouter_wire::rpc::{FaultList, InvalidMessage, convert_all};

use crate::ExitStatus;
use crate::arguments::ListArguments;
use crate::ctl_error::CtlError;
use crate::resource_kind::ResourceKind;

use super::Context;
use super::resource_view::{back_end_table, pool_table, print_all, stage_table, tenant_table};

/// Lists the resources of a kind.
pub async fn list(
    arguments: &ListArguments,
    context: &mut Context<'_>,
) -> Result<ExitStatus, CtlError> {
    match ResourceKind::parse(&arguments.kind)? {
        ResourceKind::Tenant => list_tenants(context).await?,
        ResourceKind::Pool => list_pools(context).await?,
        ResourceKind::BackEnd => list_back_ends(context).await?,
        ResourceKind::Stage => list_stages(context).await?,
    }
    Ok(ExitStatus::Success)
}

async fn list_tenants(context: &mut Context<'_>) -> Result<(), CtlError> {
    let call = |channel, request| async move {
        TenantServiceClient::new(channel)
            .list_tenants(request)
            .await
    };
    let answer = context.client.read(v1::ListTenantsRequest {}, call).await?;
    let tenants = convert(answer.tenants)?;
    print_all(&tenants, tenant_table, &mut context.printer)
}

async fn list_pools(context: &mut Context<'_>) -> Result<(), CtlError> {
    let call =
        |channel, request| async move { PoolServiceClient::new(channel).list_pools(request).await };
    let answer = context.client.read(v1::ListPoolsRequest {}, call).await?;
    let pools = convert(answer.pools)?;
    print_all(&pools, pool_table, &mut context.printer)
}

async fn list_back_ends(context: &mut Context<'_>) -> Result<(), CtlError> {
    let call = |channel, request| async move {
        BackEndServiceClient::new(channel)
            .list_back_ends(request)
            .await
    };
    let answer = context
        .client
        .read(v1::ListBackEndsRequest {}, call)
        .await?;
    let back_ends = convert(answer.back_ends)?;
    print_all(&back_ends, back_end_table, &mut context.printer)
}

async fn list_stages(context: &mut Context<'_>) -> Result<(), CtlError> {
    let call = |channel, request| async move {
        StageServiceClient::new(channel).list_stages(request).await
    };
    let answer = context.client.read(v1::ListStagesRequest {}, call).await?;
    let stages = convert(answer.stages)?;
    print_all(&stages, stage_table, &mut context.printer)
}

fn convert<M, R>(messages: Vec<M>) -> Result<Vec<R>, InvalidMessage>
where
    R: TryFrom<M, Error = InvalidMessage>,
{
    let mut faults = FaultList::default();
    let resources = convert_all(messages, &mut faults);
    faults.finish(resources)
}
