//! `ryectl stage`.

use ryerouter_wire::generated::v1;
use ryerouter_wire::generated::v1::stage_service_client::StageServiceClient;

use crate::ExitStatus;
use crate::arguments::{
    StageArguments, StageCommand, StageNameArguments, StageSetArguments, StageStartArguments,
    WriteArguments,
};
use crate::ctl_error::CtlError;

use super::Context;
use super::get::get_stage;

/// The stage must not exist yet.
const ABSENT: u64 = 0;

/// Starts, sets, pauses, resumes or rolls back a migration stage.
pub async fn stage(
    arguments: &StageArguments,
    context: &mut Context<'_>,
) -> Result<ExitStatus, CtlError> {
    match &arguments.command {
        Some(StageCommand::Start(arguments)) => start(arguments, context).await,
        Some(StageCommand::Set(arguments)) => set(arguments, context).await,
        Some(StageCommand::Pause(arguments)) => {
            set_state(arguments, v1::StageState::Paused, context).await
        }
        Some(StageCommand::Resume(arguments)) => {
            set_state(arguments, v1::StageState::Running, context).await
        }
        Some(StageCommand::Rollback(arguments)) => {
            set_state(arguments, v1::StageState::RolledBack, context).await
        }
        None => Err(CtlError::usage(
            "stage needs a command: start, set, pause, resume or rollback",
        )),
    }
}

async fn start(
    arguments: &StageStartArguments,
    context: &mut Context<'_>,
) -> Result<ExitStatus, CtlError> {
    let write = arguments.write();
    let source = context.change_source(&write);
    let message = v1::CreateStageRequest {
        stage: Some(new_stage(arguments)),
        options: Some(source.options(ABSENT)),
    };
    let call = |channel, request| async move {
        StageServiceClient::new(channel).create_stage(request).await
    };
    let answer = context.client.write(&source, message, call).await?;
    context.finish_write(answer.receipt, &write).await
}

fn new_stage(arguments: &StageStartArguments) -> v1::Stage {
    v1::Stage {
        name: arguments.name.clone(),
        pool: arguments.pool.clone(),
        tenant: arguments.tenant.clone().unwrap_or_default(),
        source: arguments.from.clone(),
        target: arguments.to.clone(),
        target_share_permille: arguments.share,
        step_permille: arguments.step.unwrap_or_default(),
        hold_seconds: arguments.hold_seconds.unwrap_or_default(),
        rollback_rule: Some(v1::RollbackRule {
            max_first_token_p99_ms: arguments.max_first_token_p99_ms,
            max_error_permille: arguments.max_error_permille,
            min_hit_rate_permille: arguments.min_hit_rate_permille,
        }),
        state: v1::StageState::Running.into(),
        version: 0,
    }
}

async fn set(
    arguments: &StageSetArguments,
    context: &mut Context<'_>,
) -> Result<ExitStatus, CtlError> {
    let mut stage = v1::Stage::from(&get_stage(&context.client, &arguments.name).await?);
    if let Some(share) = arguments.share {
        stage.target_share_permille = share;
    }
    if let Some(step) = arguments.step {
        stage.step_permille = step;
    }
    if let Some(seconds) = arguments.hold_seconds {
        stage.hold_seconds = seconds;
    }
    let rule = stage.rollback_rule.get_or_insert_default();
    replace(
        &mut rule.max_first_token_p99_ms,
        arguments.max_first_token_p99_ms,
    );
    replace(&mut rule.max_error_permille, arguments.max_error_permille);
    replace(
        &mut rule.min_hit_rate_permille,
        arguments.min_hit_rate_permille,
    );
    update(stage, &arguments.write(), context).await
}

fn replace(bound: &mut Option<u32>, given: Option<u32>) {
    if given.is_some() {
        *bound = given;
    }
}

async fn set_state(
    arguments: &StageNameArguments,
    state: v1::StageState,
    context: &mut Context<'_>,
) -> Result<ExitStatus, CtlError> {
    let mut stage = v1::Stage::from(&get_stage(&context.client, &arguments.name).await?);
    stage.set_state(state);
    update(stage, &arguments.write(), context).await
}

async fn update(
    stage: v1::Stage,
    write: &WriteArguments,
    context: &mut Context<'_>,
) -> Result<ExitStatus, CtlError> {
    let source = context.change_source(write);
    let message = v1::UpdateStageRequest {
        options: Some(source.options(stage.version)),
        stage: Some(stage),
    };
    let call = |channel, request| async move {
        StageServiceClient::new(channel).update_stage(request).await
    };
    let answer = context.client.write(&source, message, call).await?;
    context.finish_write(answer.receipt, write).await
}
