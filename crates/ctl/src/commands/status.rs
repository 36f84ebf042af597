//! `ryectl status`.

use std::time::Duration;

use ryerouter_wire::generated::v1;
use ryerouter_wire::generated::v1::operations_service_client::OperationsServiceClient;
use serde::Serialize;
use tokio::time::Instant;

use crate::ExitStatus;
use crate::arguments::StatusArguments;
use crate::client::RpcClient;
use crate::ctl_error::CtlError;
use crate::output::Table;

use super::Context;

const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Status, as JSON.
#[derive(Serialize)]
struct StatusView<'a> {
    answering_node: &'a str,
    phase: &'a str,
    software_version: &'a str,
    newest_config_version: u64,
    object_api_reachable: bool,
    nodes: Vec<NodeView<'a>>,
}

/// A node, as JSON.
#[derive(Serialize)]
struct NodeView<'a> {
    name: &'a str,
    address: &'a str,
    region: &'a str,
    data_centre: &'a str,
    zone: &'a str,
    state: &'static str,
    config_version: u64,
    incarnation: u64,
    last_heard_ms: Option<u64>,
}

/// Shows the nodes and the configuration in force on each.
pub async fn status(
    arguments: &StatusArguments,
    context: &mut Context<'_>,
) -> Result<ExitStatus, CtlError> {
    let first = read_status(&context.client).await?;
    let version = arguments
        .config_version
        .unwrap_or(first.newest_config_version);
    let shown = match arguments.wait {
        true => wait_until_in_force(context, version).await?,
        false => first,
    };
    print_status(&shown, context)?;
    Ok(ExitStatus::Success)
}

/// Waits until `version` is in force on every live node; returns the status that shows it.
pub(super) async fn wait_until_in_force(
    context: &mut Context<'_>,
    version: u64,
) -> Result<v1::StatusResponse, CtlError> {
    let started = Instant::now();
    loop {
        let status = read_status(&context.client).await?;
        let behind = nodes_behind(&status, version);
        if behind.is_empty() {
            let live = status.nodes.iter().filter(|node| is_live(node)).count();
            let seconds = started.elapsed().as_secs_f64();
            let note = format!("version {version} in force on {live} nodes after {seconds:.1} s");
            context.printer.note(&note)?;
            return Ok(status);
        }
        if Instant::now() + POLL_INTERVAL >= context.client.deadline() {
            let names = behind.join(", ");
            let message = format!("version {version} not yet in force on {names}");
            return Err(CtlError::TimedOut { message });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Reads the status from the node that answers.
pub(super) async fn read_status(client: &RpcClient) -> Result<v1::StatusResponse, CtlError> {
    let call = |channel, request| async move {
        OperationsServiceClient::new(channel).status(request).await
    };
    client.read(v1::StatusRequest {}, call).await
}

/// Table of nodes.
pub(super) fn node_table(nodes: &[v1::NodeStatus]) -> Table {
    let headings = [
        "NODE",
        "ADDRESS",
        "DATA CENTRE",
        "ZONE",
        "STATE",
        "CONFIG",
        "HEARD MS AGO",
    ];
    let mut table = Table::new(headings);
    for node in nodes {
        let heard = node.last_heard_ms;
        table.add([
            node.name.clone(),
            node.address.clone(),
            node.data_centre.clone(),
            node.zone.clone(),
            state_word(node.state()).to_owned(),
            node.config_version.to_string(),
            heard.map_or_else(String::new, |milliseconds| milliseconds.to_string()),
        ]);
    }
    table
}

fn nodes_behind(status: &v1::StatusResponse, version: u64) -> Vec<String> {
    let behind = |node: &&v1::NodeStatus| is_live(node) && node.config_version < version;
    let nodes = status.nodes.iter().filter(behind);
    nodes.map(|node| node.name.clone()).collect()
}

/// A suspect node may serve with what it has, so it counts as live.
fn is_live(node: &v1::NodeStatus) -> bool {
    matches!(node.state(), v1::NodeState::Alive | v1::NodeState::Suspect)
}

fn state_word(state: v1::NodeState) -> &'static str {
    match state {
        v1::NodeState::Unspecified => "unknown",
        v1::NodeState::Alive => "alive",
        v1::NodeState::Suspect => "suspect",
        v1::NodeState::Failed => "failed",
        v1::NodeState::Left => "left",
    }
}

fn print_status(status: &v1::StatusResponse, context: &mut Context<'_>) -> Result<(), CtlError> {
    let printer = &mut context.printer;
    if printer.json() {
        return printer.value(&view(status));
    }
    let object_api = match status.object_api_reachable {
        true => "reachable",
        false => "NOT REACHABLE: no change is accepted, traffic goes on",
    };
    printer.line(&format!(
        "{} ({}, {}): newest version {}, object API {object_api}",
        status.answering_node, status.phase, status.software_version, status.newest_config_version,
    ))?;
    printer.table(&node_table(&status.nodes))
}

fn view(status: &v1::StatusResponse) -> StatusView<'_> {
    StatusView {
        answering_node: &status.answering_node,
        phase: &status.phase,
        software_version: &status.software_version,
        newest_config_version: status.newest_config_version,
        object_api_reachable: status.object_api_reachable,
        nodes: status.nodes.iter().map(node_view).collect(),
    }
}

fn node_view(node: &v1::NodeStatus) -> NodeView<'_> {
    NodeView {
        name: &node.name,
        address: &node.address,
        region: &node.region,
        data_centre: &node.data_centre,
        zone: &node.zone,
        state: state_word(node.state()),
        config_version: node.config_version,
        incarnation: node.incarnation,
        last_heard_ms: node.last_heard_ms,
    }
}
