//! Claims of the traffic threads.

use std::time::Duration;

use futures_util::future::BoxFuture;
use ryerouter_core::claim::ClaimOutcome;
use tokio::sync::mpsc;

use crate::traffic::{ClaimDecision, ClaimGate, ClaimRequest};

use super::claim_command::ClaimCommand;
use super::claim_wait::ClaimWait;

/// When a caller may come back if the control thread is gone: by then the process is too.
const RETRY_AFTER_CONTROL_LOST: Duration = Duration::from_secs(1);

/// Claims of the traffic threads, decided by the control thread with the keepers.
///
/// The queue is not bounded by itself: each request in progress, of which there are only so many,
/// has one claim in it at most, and one message at its end.
#[derive(Debug, Clone)]
pub struct ControlClaimGate {
    commands: mpsc::UnboundedSender<ClaimCommand>,
}

impl ControlClaimGate {
    pub(super) fn new(commands: mpsc::UnboundedSender<ClaimCommand>) -> Self {
        Self { commands }
    }
}

impl ClaimGate for ControlClaimGate {
    fn claim(&self, request: ClaimRequest) -> BoxFuture<'static, ClaimDecision> {
        let wait = ClaimWait::ask(self.commands.clone(), request.tenant, request.key);
        Box::pin(async move {
            match wait.outcome().await {
                Some(outcome) => decision(outcome),
                None => ClaimDecision::Unavailable {
                    retry_after: RETRY_AFTER_CONTROL_LOST,
                },
            }
        })
    }

    fn release(&self, request: ClaimRequest) {
        let _ = self.commands.send(ClaimCommand::Release {
            tenant: request.tenant,
            key: request.key,
        });
    }

    fn ended(&self, request: ClaimRequest) {
        let _ = self.commands.send(ClaimCommand::End {
            tenant: request.tenant,
            key: request.key,
        });
    }
}

fn decision(outcome: ClaimOutcome) -> ClaimDecision {
    match outcome {
        ClaimOutcome::Granted(grant) => ClaimDecision::Granted {
            dispatch_before: grant.dispatch_before,
        },
        // An expired key may have run long ago; to its caller that is the same.
        ClaimOutcome::AlreadyClaimed | ClaimOutcome::KeyExpired => ClaimDecision::AlreadyClaimed,
        ClaimOutcome::Unavailable { retry_after } => ClaimDecision::Unavailable { retry_after },
    }
}
