//! Refusals of requests that are not let in.

use std::time::Duration;

use ryerouter_core::dispatch::{Refusal, RefusalReason, RunState};

use crate::traffic::GateClosed;

/// The refusal of a request that is not let in.
pub(crate) fn gate_refusal(
    closed: GateClosed,
    run_state: RunState,
    retry_after: Duration,
) -> Refusal {
    let reason = match closed {
        GateClosed::Stopping => RefusalReason::Stopping,
        GateClosed::Full => RefusalReason::QueueFull,
    };
    Refusal {
        reason,
        run_state,
        retry_after: Some(retry_after),
    }
}
