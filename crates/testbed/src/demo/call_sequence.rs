//! Sends a call, and sends it again where a sensible caller would.

use std::net::SocketAddr;
use std::time::Duration;

use ryerouter_core::dispatch::RunState;
use tokio::time::sleep;

use super::{Call, CallEnd, CallRecord, Caller};

/// Submissions of one call at most.
const MOST_SUBMISSIONS: u32 = 6;
/// When a caller comes back that is not told when.
const USUAL_RETRY: Duration = Duration::from_millis(250);

/// Sends a call once.
pub async fn send_once(caller: Caller, call: Call, nodes: Vec<SocketAddr>) -> Vec<CallRecord> {
    let node = nodes[call.node];
    vec![caller.send(call, node).await]
}

/// Sends a call, and sends it again to the next node with the same key when it did not run, when
/// it could not connect, or when it must run at most once and nobody can tell whether it ran.
pub async fn send_until_settled(
    caller: Caller,
    mut call: Call,
    nodes: Vec<SocketAddr>,
) -> Vec<CallRecord> {
    let first_id = call.id.clone();
    let mut records = Vec::new();
    for submission in 1..=MOST_SUBMISSIONS {
        let node = nodes[call.node];
        let mut record = caller.send(call.clone(), node).await;
        record.submission = submission;
        let pause = retry_pause(&record);
        records.push(record);
        let Some(pause) = pause else {
            break;
        };
        sleep(pause).await;
        call.id = format!("{first_id}-{}", submission + 1);
        call.node = (call.node + 1) % nodes.len();
    }
    records
}

fn retry_pause(record: &CallRecord) -> Option<Duration> {
    match &record.end {
        CallEnd::NotConnected => Some(USUAL_RETRY),
        CallEnd::Refused {
            run_state: RunState::NotRun,
            retry_after,
            ..
        } => Some(retry_after.unwrap_or(USUAL_RETRY)),
        CallEnd::Refused { .. } | CallEnd::Broken { .. } => {
            record.call.at_most_once_key.as_ref().map(|_| USUAL_RETRY)
        }
        CallEnd::Right { .. } | CallEnd::Wrong { .. } => None,
    }
}
