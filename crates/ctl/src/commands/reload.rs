//! `ryectl reload`.

use ryerouter_wire::generated::v1;
use ryerouter_wire::generated::v1::operations_service_client::OperationsServiceClient;

use crate::ExitStatus;
use crate::ctl_error::CtlError;

use super::Context;

/// Has the node read its settings file and TLS files again.
pub async fn reload(context: &mut Context<'_>) -> Result<ExitStatus, CtlError> {
    let call = |channel, request| async move {
        OperationsServiceClient::new(channel).reload(request).await
    };
    let answer = context.client.read(v1::ReloadRequest {}, call).await?;
    let printer = &mut context.printer;
    if printer.json() {
        printer.value(&answer)?;
        return Ok(ExitStatus::Success);
    }
    printer.line(&format!("in force: {}", list(&answer.changed_settings)))?;
    let waiting = &answer.restart_needed_settings;
    if !waiting.is_empty() {
        printer.line(&format!(
            "changed in the file, but need a restart: {}",
            list(waiting)
        ))?;
    }
    Ok(ExitStatus::Success)
}

fn list(settings: &[String]) -> String {
    match settings {
        [] => "nothing changed".to_owned(),
        settings => settings.join(", "),
    }
}
