//! A claim that a request waits for.

use ryerouter_core::claim::ClaimOutcome;
use ryerouter_core::identity::{IdempotencyKey, TenantName};
use tokio::sync::{mpsc, oneshot};

use super::claim_command::ClaimCommand;

/// A claim that a request waits for. When the request is dropped in the meantime, a claim that was
/// granted already is given back; one that is granted later finds nobody and is given back by the
/// control thread.
pub(super) struct ClaimWait {
    commands: mpsc::UnboundedSender<ClaimCommand>,
    tenant: TenantName,
    key: IdempotencyKey,
    outcome: oneshot::Receiver<ClaimOutcome>,
    is_over: bool,
}

impl ClaimWait {
    /// Asks for the claim.
    pub(super) fn ask(
        commands: mpsc::UnboundedSender<ClaimCommand>,
        tenant: TenantName,
        key: IdempotencyKey,
    ) -> Self {
        let (reply, outcome) = oneshot::channel();
        // A message that finds the control thread gone drops its reply, which ends the wait.
        let _ = commands.send(ClaimCommand::Claim {
            tenant: tenant.clone(),
            key: key.clone(),
            reply,
        });
        Self {
            commands,
            tenant,
            key,
            outcome,
            is_over: false,
        }
    }

    /// The outcome; `None` when the control thread is gone.
    pub(super) async fn outcome(mut self) -> Option<ClaimOutcome> {
        let outcome = (&mut self.outcome).await;
        self.is_over = true;
        outcome.ok()
    }
}

impl Drop for ClaimWait {
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        self.outcome.close();
        if let Ok(ClaimOutcome::Granted(_)) = self.outcome.try_recv() {
            let _ = self.commands.send(ClaimCommand::Release {
                tenant: self.tenant.clone(),
                key: self.key.clone(),
            });
        }
    }
}
