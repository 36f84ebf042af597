//! `ryectl drain`.

use ryerouter_wire::generated::v1;
use ryerouter_wire::generated::v1::back_end_service_client::BackEndServiceClient;

use crate::ExitStatus;
use crate::arguments::DrainArguments;
use crate::ctl_error::CtlError;

use super::Context;

/// Whatever version of the back end is in force.
const ANY_VERSION: u64 = 0;

/// Stops new work to a back end, or allows it again.
pub async fn drain(
    arguments: &DrainArguments,
    context: &mut Context<'_>,
) -> Result<ExitStatus, CtlError> {
    let write = arguments.write();
    let source = context.change_source(&write);
    let message = v1::DrainBackEndRequest {
        name: arguments.back_end.clone(),
        undo: arguments.undo,
        options: Some(source.options(ANY_VERSION)),
    };
    let call = |channel, request| async move {
        BackEndServiceClient::new(channel)
            .drain_back_end(request)
            .await
    };
    let answer = context.client.write(&source, message, call).await?;
    context.finish_write(answer.receipt, &write).await
}
