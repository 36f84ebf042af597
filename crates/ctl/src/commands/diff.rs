//! `ryectl diff`.

use ryerouter_core::catalog::Catalog;
use serde::Serialize;

use crate::ExitStatus;
use crate::arguments::DiffArguments;
use crate::ctl_error::CtlError;
use crate::difference::{Plan, ResourceDifference};
use crate::resource_file::ResourceFile;

use super::Context;

/// Differences, as JSON.
#[derive(Serialize)]
struct PlanView<'a> {
    config_version: u64,
    changes: &'a [ResourceDifference],
}

/// Shows what `apply` would change.
pub async fn diff(
    arguments: &DiffArguments,
    context: &mut Context<'_>,
) -> Result<ExitStatus, CtlError> {
    let file = ResourceFile::read(&arguments.file)?;
    let catalog = context.catalog().await?;
    let plan = Plan::new(&file, &catalog, arguments.prune)?;
    print_plan(&plan, &catalog, context)?;
    Ok(match plan.is_empty() {
        true => ExitStatus::Success,
        false => ExitStatus::Different,
    })
}

/// Prints the differences.
pub(super) fn print_plan(
    plan: &Plan,
    catalog: &Catalog,
    context: &mut Context<'_>,
) -> Result<(), CtlError> {
    if context.printer.json() {
        return context.printer.value(&PlanView {
            config_version: catalog.version.0,
            changes: &plan.differences,
        });
    }
    if plan.is_empty() {
        let line = format!("nothing to change at version {}", catalog.version);
        return context.printer.line(&line);
    }
    for difference in &plan.differences {
        context.printer.lines(difference.lines())?;
    }
    Ok(())
}
