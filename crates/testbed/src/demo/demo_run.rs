//! Runs a demonstration.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::time::Instant;

use super::call_sequence::{send_once, send_until_settled};
use super::chaos::{BadCallers, ChaosLog, ChaosRun, chaos_script};
use super::{Call, CallRecord, Caller, DemoError, DemoOptions, DemoReport, plan_calls};
use crate::cluster::{Cluster, ClusterError};

/// Starts a deployment, sends the calls at their times, and reports how they ended.
///
/// # Errors
///
/// The deployment cannot start. Broken promises are no error; the report tells of them.
pub async fn run_demo(options: &DemoOptions) -> Result<DemoReport, DemoError> {
    let mut cluster = Cluster::start(&options.cluster).await?;
    let nodes = cluster.routers.len();
    let calls = plan_calls(options, nodes);
    let started = Instant::now();
    let length = calls.last().map_or(0, |call| call.sent_at.as_micros());
    let length = Duration::from_micros(length);
    let (records, chaos) = if options.chaos {
        let addresses = cluster.caller_addresses();
        let _bad_callers = BadCallers::start(&options.cluster.scenario, &addresses);
        let chaos = fail(&mut cluster, length, options.cluster.seed, started);
        let (records, chaos) = tokio::join!(send_all(addresses, calls, true), chaos);
        (records, chaos?)
    } else {
        let addresses = cluster.caller_addresses();
        (send_all(addresses, calls, false).await, ChaosLog::default())
    };
    let report = DemoReport::new(&records, &cluster.stand_ins, &chaos);
    let report = report.with_run(
        &options.cluster.scenario.name,
        options.cluster.seed,
        nodes,
        started.elapsed(),
    );
    cluster.stop().await;
    Ok(report)
}

async fn fail(
    cluster: &mut Cluster,
    length: Duration,
    seed: u64,
    started: Instant,
) -> Result<ChaosLog, ClusterError> {
    let routers = cluster.routers.len();
    let engines = cluster.stand_ins.engines.len();
    let script = chaos_script(length, routers, engines, seed);
    ChaosRun::new(cluster).run(script, started).await
}

async fn send_all(nodes: Vec<SocketAddr>, calls: Vec<Call>, again: bool) -> Vec<CallRecord> {
    let caller = Caller::default();
    let started = Instant::now();
    let sent = calls.into_iter().map(|call| {
        let caller = caller.clone();
        let nodes = nodes.clone();
        let due = started + Duration::from_micros(call.sent_at.as_micros());
        tokio::spawn(async move {
            tokio::time::sleep_until(due).await;
            if again {
                send_until_settled(caller, call, nodes).await
            } else {
                send_once(caller, call, nodes).await
            }
        })
    });
    let ended = join_all(sent).await;
    ended
        .into_iter()
        .flat_map(|records| records.expect("a call does not panic"))
        .collect()
}
