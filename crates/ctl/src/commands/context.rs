//! What a command works with.

use ryerouter_core::catalog::Catalog;
use ryerouter_wire::generated::v1;
use ryerouter_wire::generated::v1::configuration_service_client::ConfigurationServiceClient;
use serde::Serialize;

use crate::ExitStatus;
use crate::arguments::WriteArguments;
use crate::change_source::ChangeSource;
use crate::client::RpcClient;
use crate::ctl_error::CtlError;
use crate::output::Printer;

use super::status::wait_until_in_force;

/// What a command works with.
pub struct Context<'a> {
    /// The nodes.
    pub client: RpcClient,
    /// Who makes changes.
    pub author: String,
    /// Where results go.
    pub printer: Printer<'a>,
}

/// Result of a write, as JSON.
#[derive(Serialize)]
struct ReceiptView<'a> {
    config_version: u64,
    change_id: &'a str,
    already_made: bool,
    dry_run: bool,
}

impl Context<'_> {
    /// Where the change of this invocation comes from.
    pub fn change_source(&self, write: &WriteArguments) -> ChangeSource {
        ChangeSource::new(write.change_id.clone(), self.author.clone(), write.dry_run)
    }

    /// The configuration in force on the node that answers.
    pub async fn catalog(&self) -> Result<Catalog, CtlError> {
        let message = v1::GetConfigurationRequest {};
        let call = |channel, request| async move {
            ConfigurationServiceClient::new(channel)
                .get_configuration(request)
                .await
        };
        let configuration = self.client.read(message, call).await?;
        Ok(Catalog::try_from(configuration)?)
    }

    /// Prints what a write did and waits until it is in force, if asked to.
    pub async fn finish_write(
        &mut self,
        receipt: Option<v1::WriteReceipt>,
        write: &WriteArguments,
    ) -> Result<ExitStatus, CtlError> {
        let receipt = receipt.unwrap_or_default();
        if self.printer.json() {
            self.printer.value(&ReceiptView {
                config_version: receipt.config_version,
                change_id: &receipt.change_id,
                already_made: receipt.already_made,
                dry_run: receipt.dry_run,
            })?;
        } else {
            self.printer.line(&receipt_line(&receipt))?;
        }
        if write.wait && !receipt.dry_run {
            self.printer.flush()?;
            wait_until_in_force(self, receipt.config_version).await?;
        }
        Ok(ExitStatus::Success)
    }
}

fn receipt_line(receipt: &v1::WriteReceipt) -> String {
    let version = receipt.config_version;
    let change = &receipt.change_id;
    match (receipt.dry_run, receipt.already_made) {
        (true, _) => format!("would be accepted as version {version} (dry run)"),
        (false, true) => format!("had been accepted as version {version} (change {change})"),
        (false, false) => format!("accepted as version {version} (change {change})"),
    }
}
