//! `ryectl apply`.

use ryerouter_wire::generated::v1;
use ryerouter_wire::generated::v1::configuration_service_client::ConfigurationServiceClient;

use crate::ExitStatus;
use crate::arguments::ApplyArguments;
use crate::ctl_error::CtlError;
use crate::difference::Plan;
use crate::resource_file::ResourceFile;

use super::Context;
use super::diff::print_plan;

/// Makes the configuration match a file. All writes take effect at one version, or none does.
pub async fn apply(
    arguments: &ApplyArguments,
    context: &mut Context<'_>,
) -> Result<ExitStatus, CtlError> {
    let file = ResourceFile::read(&arguments.file)?;
    let catalog = context.catalog().await?;
    let plan = Plan::new(&file, &catalog, arguments.prune)?;
    let write = arguments.write();
    if !context.printer.json() || plan.is_empty() {
        print_plan(&plan, &catalog, context)?;
    }
    if plan.is_empty() {
        return Ok(ExitStatus::Success);
    }
    let source = context.change_source(&write);
    let message = v1::ApplyRequest {
        mutations: plan.mutations.iter().map(Into::into).collect(),
        change_id: source.change_id.clone(),
        dry_run: source.dry_run,
        author: source.author.clone(),
    };
    let call = |channel, request| async move {
        ConfigurationServiceClient::new(channel)
            .apply(request)
            .await
    };
    let answer = context.client.write(&source, message, call).await?;
    context.finish_write(answer.receipt, &write).await
}
