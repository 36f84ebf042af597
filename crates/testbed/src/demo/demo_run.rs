//! Runs a demonstration.

use futures_util::future::join_all;
use tokio::time::Instant;

use super::{Call, CallRecord, Caller, DemoError, DemoOptions, DemoReport, plan_calls};
use crate::cluster::Cluster;

/// Starts a deployment, sends the calls at their times, and reports how they ended.
///
/// # Errors
///
/// The deployment cannot start. Broken promises are no error; the report tells of them.
pub async fn run_demo(options: &DemoOptions) -> Result<DemoReport, DemoError> {
    let cluster = Cluster::start(&options.cluster).await?;
    let nodes = cluster.routers.len();
    let calls = plan_calls(options, nodes);
    let started = Instant::now();
    let records = send_all(&cluster, calls).await;
    let report = DemoReport::new(&records, &cluster.stand_ins);
    let report = report.with_run(
        &options.cluster.scenario.name,
        options.cluster.seed,
        nodes,
        started.elapsed(),
    );
    cluster.stop().await;
    Ok(report)
}

async fn send_all(cluster: &Cluster, calls: Vec<Call>) -> Vec<CallRecord> {
    let caller = Caller::default();
    let addresses = cluster.caller_addresses();
    let started = Instant::now();
    let sent = calls.into_iter().map(|call| {
        let caller = caller.clone();
        let node = addresses[call.node];
        let due = started + std::time::Duration::from_micros(call.sent_at.as_micros());
        tokio::spawn(async move {
            tokio::time::sleep_until(due).await;
            caller.send(call, node).await
        })
    });
    let ended = join_all(sent).await;
    ended
        .into_iter()
        .map(|record| record.expect("a call does not panic"))
        .collect()
}
