//! `ryectl top`.

use std::time::Duration;

use ryerouter_wire::generated::v1;
use ryerouter_wire::generated::v1::operations_service_client::OperationsServiceClient;
use serde::Serialize;

use crate::ExitStatus;
use crate::arguments::TopArguments;
use crate::client::RpcClient;
use crate::ctl_error::CtlError;
use crate::output::Table;

use super::Context;
use super::status::{node_table, read_status};

/// A picture, as JSON.
#[derive(Serialize)]
struct PictureView<'a> {
    answering_node: &'a str,
    window_ms: u32,
    config_version: u64,
    pools: &'a [v1::PoolOverview],
    back_ends: &'a [v1::BackEndOverview],
    stages: Vec<StageView<'a>>,
    refusals: &'a [v1::RefusalCount],
}

/// A stage, as JSON.
#[derive(Serialize)]
struct StageView<'a> {
    stage: &'a str,
    state: &'static str,
    share_permille: u32,
    target_share_permille: u32,
    reason: &'a str,
}

/// Shows live traffic: a picture that is drawn anew on a terminal, plain lines elsewhere.
pub async fn top(
    arguments: &TopArguments,
    context: &mut Context<'_>,
) -> Result<ExitStatus, CtlError> {
    let mut shown = 0;
    loop {
        // Each picture has the whole time limit for itself.
        let client = context.client.renewed();
        let overview = read_overview(&client).await?;
        let status = read_status(&client).await?;
        print_picture(&overview, &status, context)?;
        context.printer.flush()?;
        shown += 1;
        if shown == arguments.count {
            return Ok(ExitStatus::Success);
        }
        tokio::time::sleep(Duration::from_millis(arguments.interval_ms)).await;
    }
}

async fn read_overview(client: &RpcClient) -> Result<v1::OverviewResponse, CtlError> {
    let call = |channel, request| async move {
        OperationsServiceClient::new(channel)
            .overview(request)
            .await
    };
    client.read(v1::OverviewRequest {}, call).await
}

fn print_picture(
    overview: &v1::OverviewResponse,
    status: &v1::StatusResponse,
    context: &mut Context<'_>,
) -> Result<(), CtlError> {
    let printer = &mut context.printer;
    if printer.json() {
        return printer.value(&view(overview));
    }
    if printer.terminal() {
        printer.clear()?;
    }
    let seconds = f64::from(overview.window_ms) / 1_000.0;
    printer.line(&format!(
        "{}  version {}  last {seconds:.1} s",
        overview.answering_node, overview.config_version
    ))?;
    let tables = [
        pool_table(&overview.pools),
        back_end_table(&overview.back_ends),
        stage_table(&overview.stages),
        node_table(&status.nodes),
        refusal_table(&overview.refusals),
    ];
    for table in tables {
        printer.line("")?;
        printer.table(&table)?;
    }
    Ok(())
}

fn pool_table(pools: &[v1::PoolOverview]) -> Table {
    let headings = [
        "POOL",
        "REQUESTS/S",
        "HIT RATE",
        "FIRST TOKEN P50 MS",
        "P99 MS",
        "RUNNING",
        "WAITING",
    ];
    let mut table = Table::new(headings);
    for pool in pools {
        table.add([
            pool.pool.clone(),
            format!("{:.1}", pool.requests_per_second),
            format!("{:.3}", pool.prefix_hit_rate),
            format!("{:.1}", pool.first_token_p50_ms),
            format!("{:.1}", pool.first_token_p99_ms),
            pool.running.to_string(),
            pool.waiting.to_string(),
        ]);
    }
    table
}

fn back_end_table(back_ends: &[v1::BackEndOverview]) -> Table {
    let headings = [
        "BACK END",
        "POOL",
        "DATA CENTRE",
        "STATE",
        "RUNNING",
        "WAITING",
        "IN FLIGHT",
        "WEIGHTS",
    ];
    let mut table = Table::new(headings);
    for back_end in back_ends {
        table.add([
            back_end.back_end.clone(),
            back_end.pool.clone(),
            back_end.data_centre.clone(),
            back_end.state.clone(),
            back_end.running.to_string(),
            back_end.waiting.to_string(),
            back_end.in_flight.to_string(),
            back_end.weights_version.to_string(),
        ]);
    }
    table
}

fn stage_table(stages: &[v1::StageOverview]) -> Table {
    let mut table = Table::new(["STAGE", "STATE", "SHARE", "TARGET SHARE", "REASON"]);
    for stage in stages {
        table.add([
            stage.stage.clone(),
            state_word(stage.state()).to_owned(),
            stage.share_permille.to_string(),
            stage.target_share_permille.to_string(),
            stage.reason.clone(),
        ]);
    }
    table
}

fn refusal_table(refusals: &[v1::RefusalCount]) -> Table {
    let mut table = Table::new(["REFUSED BECAUSE", "COUNT"]);
    for refusal in refusals {
        table.add([refusal.reason.clone(), refusal.count.to_string()]);
    }
    table
}

fn state_word(state: v1::StageState) -> &'static str {
    match state {
        v1::StageState::Unspecified => "unknown",
        v1::StageState::Running => "running",
        v1::StageState::Paused => "paused",
        v1::StageState::RolledBack => "rolled_back",
    }
}

fn view(overview: &v1::OverviewResponse) -> PictureView<'_> {
    PictureView {
        answering_node: &overview.answering_node,
        window_ms: overview.window_ms,
        config_version: overview.config_version,
        pools: &overview.pools,
        back_ends: &overview.back_ends,
        stages: overview.stages.iter().map(stage_view).collect(),
        refusals: &overview.refusals,
    }
}

fn stage_view(stage: &v1::StageOverview) -> StageView<'_> {
    StageView {
        stage: &stage.stage,
        state: state_word(stage.state()),
        share_permille: stage.share_permille,
        target_share_permille: stage.target_share_permille,
        reason: &stage.reason,
    }
}
