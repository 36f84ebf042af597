//! `ryectl delete`.

use ryerouter_core::identity::ResourceVersion;
use ryerouter_wire::generated::v1;
use ryerouter_wire::generated::v1::back_end_service_client::BackEndServiceClient;
use ryerouter_wire::generated::v1::pool_service_client::PoolServiceClient;
use ryerouter_wire::generated::v1::stage_service_client::StageServiceClient;
use ryerouter_wire::generated::v1::tenant_service_client::TenantServiceClient;

use crate::ExitStatus;
use crate::arguments::DeleteArguments;
use crate::change_source::ChangeSource;
use crate::client::RpcClient;
use crate::ctl_error::CtlError;
use crate::resource_kind::ResourceKind;

use super::Context;
use super::get::{get_back_end, get_pool, get_stage, get_tenant};

/// Deletes a resource.
pub async fn delete(
    arguments: &DeleteArguments,
    context: &mut Context<'_>,
) -> Result<ExitStatus, CtlError> {
    let kind = ResourceKind::parse(&arguments.kind)?;
    let client = &context.client;
    let name = arguments.name.as_str();
    let version = match arguments.expected_version {
        Some(version) => version,
        None => current_version(kind, name, client).await?.0,
    };
    let write = arguments.write();
    let source = context.change_source(&write);
    let receipt = match kind {
        ResourceKind::Tenant => delete_tenant(client, name, version, &source).await?,
        ResourceKind::Pool => delete_pool(client, name, version, &source).await?,
        ResourceKind::BackEnd => delete_back_end(client, name, version, &source).await?,
        ResourceKind::Stage => delete_stage(client, name, version, &source).await?,
    };
    context.finish_write(receipt, &write).await
}

async fn current_version(
    kind: ResourceKind,
    name: &str,
    client: &RpcClient,
) -> Result<ResourceVersion, CtlError> {
    Ok(match kind {
        ResourceKind::Tenant => get_tenant(client, name).await?.version,
        ResourceKind::Pool => get_pool(client, name).await?.version,
        ResourceKind::BackEnd => get_back_end(client, name).await?.version,
        ResourceKind::Stage => get_stage(client, name).await?.version,
    })
}

async fn delete_tenant(
    client: &RpcClient,
    name: &str,
    version: u64,
    source: &ChangeSource,
) -> Result<Option<v1::WriteReceipt>, CtlError> {
    let message = v1::DeleteTenantRequest {
        name: name.to_owned(),
        options: Some(source.options(version)),
    };
    let call = |channel, request| async move {
        TenantServiceClient::new(channel)
            .delete_tenant(request)
            .await
    };
    Ok(client.write(source, message, call).await?.receipt)
}

async fn delete_pool(
    client: &RpcClient,
    name: &str,
    version: u64,
    source: &ChangeSource,
) -> Result<Option<v1::WriteReceipt>, CtlError> {
    let message = v1::DeletePoolRequest {
        name: name.to_owned(),
        options: Some(source.options(version)),
    };
    let call = |channel, request| async move {
        PoolServiceClient::new(channel).delete_pool(request).await
    };
    Ok(client.write(source, message, call).await?.receipt)
}

async fn delete_back_end(
    client: &RpcClient,
    name: &str,
    version: u64,
    source: &ChangeSource,
) -> Result<Option<v1::WriteReceipt>, CtlError> {
    let message = v1::DeleteBackEndRequest {
        name: name.to_owned(),
        options: Some(source.options(version)),
    };
    let call = |channel, request| async move {
        BackEndServiceClient::new(channel)
            .delete_back_end(request)
            .await
    };
    Ok(client.write(source, message, call).await?.receipt)
}

async fn delete_stage(
    client: &RpcClient,
    name: &str,
    version: u64,
    source: &ChangeSource,
) -> Result<Option<v1::WriteReceipt>, CtlError> {
    let message = v1::DeleteStageRequest {
        name: name.to_owned(),
        options: Some(source.options(version)),
    };
    let call = |channel, request| async move {
        StageServiceClient::new(channel).delete_stage(request).await
    };
    Ok(client.write(source, message, call).await?.receipt)
}
