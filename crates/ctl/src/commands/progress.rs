//! `ryectl progress`.

use ryerouter_core::catalog::{Catalog, MigrationStage, PoolKind, WeightsRollout};
use ryerouter_core::identity::WeightsVersion;
use serde::Serialize;

use crate::ExitStatus;
use crate::ctl_error::CtlError;
use crate::output::Table;

use super::Context;

/// What is on its way.
#[derive(Serialize)]
struct Progress {
    stages: Vec<StageRow>,
    rollouts: Vec<RolloutRow>,
}

/// How far a stage has come.
#[derive(Serialize)]
struct StageRow {
    stage: String,
    share_permille: u16,
    target_share_permille: u16,
    finished: bool,
    note: String,
}

/// How far a change of weights has come.
#[derive(Serialize)]
struct RolloutRow {
    pool: String,
    from_weights_version: WeightsVersion,
    to_weights_version: Option<WeightsVersion>,
    share_permille: u16,
}

/// Shows how far migration stages and changes of weights have come.
pub async fn progress(context: &mut Context<'_>) -> Result<ExitStatus, CtlError> {
    let catalog = context.catalog().await?;
    let progress = Progress {
        stages: catalog
            .stages
            .values()
            .map(|stage| stage_row(stage, &catalog))
            .collect(),
        rollouts: catalog
            .rollouts
            .values()
            .map(|rollout| rollout_row(rollout, &catalog))
            .collect(),
    };
    let printer = &mut context.printer;
    if printer.json() {
        printer.value(&progress)?;
        return Ok(ExitStatus::Success);
    }
    printer.table(&stage_table(&progress.stages))?;
    printer.line("")?;
    printer.table(&rollout_table(&progress.rollouts))?;
    Ok(ExitStatus::Success)
}

fn stage_row(stage: &MigrationStage, catalog: &Catalog) -> StageRow {
    let progress = catalog.stage_progress.get(&stage.name);
    StageRow {
        stage: stage.name.to_string(),
        share_permille: catalog.stage_share(stage),
        target_share_permille: stage.target_share_permille,
        finished: progress.is_some_and(|progress| progress.finished),
        note: progress
            .map(|progress| progress.note.clone())
            .unwrap_or_default(),
    }
}

fn rollout_row(rollout: &WeightsRollout, catalog: &Catalog) -> RolloutRow {
    let pool = catalog.pools.get(&rollout.pool);
    let to_weights_version = match pool.map(|pool| &pool.kind) {
        Some(PoolKind::Model {
            weights_version, ..
        }) => Some(*weights_version),
        _ => None,
    };
    RolloutRow {
        pool: rollout.pool.to_string(),
        from_weights_version: rollout.from,
        to_weights_version,
        share_permille: rollout.share_permille,
    }
}

fn stage_table(rows: &[StageRow]) -> Table {
    let mut table = Table::new(["STAGE", "SHARE", "TARGET SHARE", "FINISHED", "NOTE"]);
    for row in rows {
        let finished = if row.finished { "yes" } else { "no" };
        table.add([
            row.stage.clone(),
            row.share_permille.to_string(),
            row.target_share_permille.to_string(),
            finished.to_owned(),
            row.note.clone(),
        ]);
    }
    table
}

fn rollout_table(rows: &[RolloutRow]) -> Table {
    let mut table = Table::new(["NEW WEIGHTS OF", "FROM", "TO", "SHARE"]);
    for row in rows {
        let to = row.to_weights_version;
        table.add([
            row.pool.clone(),
            row.from_weights_version.to_string(),
            to.map_or_else(String::new, |version| version.to_string()),
            row.share_permille.to_string(),
        ]);
    }
    table
}
