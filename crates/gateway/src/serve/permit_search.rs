//! Finds an engine that may be sent a request now, and waits for one if none is free.

use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::BackEndName;
use ryerouter_core::poison::Verdict;
use slog::info;
use tokio::time::sleep;

use super::request_forwarder::RequestForwarder;
use crate::permits::Permit;
use crate::placement::Placement;
use crate::request::{Refusal, RefusalReason};

/// Number of engines that are asked for a permit before the request waits at the one with the shortest wait.
const MAX_POLLED: usize = 3;
/// Maximum time for which a request waits at one engine before others are asked again.
const MAX_WAIT_AT_ENGINE: Duration = Duration::from_millis(400);
/// Share of the time left until the deadline that a request waits for a permit. The rest is for its run.
const WAIT_SHARE: f64 = 0.5;
/// Pause before issuers are asked again.
const PAUSE: Duration = Duration::from_millis(50);
/// Maximum time for which a request at a new node waits for the first answer of an engine.
const MAX_FIRST_ANSWER_WAIT: Duration = Duration::from_millis(500);
/// How often that request checks for the answer.
const FIRST_ANSWER_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Retry-after time when no issuer tells when a permit could be had.
const UNKNOWN_WAIT: Duration = Duration::from_millis(400);

/// An engine of which no permit could be had at once.
struct Full {
    placement: Placement,
    wait: Duration,
}

impl RequestForwarder {
    /// Chooses an engine, and gets a permit for it if it needs one. A request is refused at once if no permit can be had
    /// in time.
    pub(super) async fn place_with_permit(
        &self,
        verdict: Verdict,
        is_new: bool,
    ) -> Result<(Placement, Option<Permit>), Refusal> {
        let mut first = self.place_anywhere(verdict)?;
        if is_new {
            self.gateway.admit_to_pool(&self.request, &first)?;
        }
        if self.await_first_answer(&first).await {
            first = self.place_anywhere(verdict)?;
        }
        if !self.gateway.needs_permit(&first) {
            return Ok((first, None));
        }
        let _waiting = self.gateway.wait_at_pool(&self.request, &first);
        let began = self.gateway.clock().now();
        let left = self.request.deadline.since(began);
        let until = began.after(left.mul_f64(WAIT_SHARE));
        let mut next = Some(first);
        let mut shortest = None;
        loop {
            let full = match self.poll_engines(verdict, next.take()).await {
                Ok(placed) => return Ok(placed),
                Err(full) => full,
            };
            let now = self.gateway.clock().now();
            let wait = full.as_ref().map(|full| full.wait);
            shortest = wait.or(shortest);
            if now >= until || wait.is_some_and(|wait| now.after(wait) > until) {
                return Err(self.permit_refusal(shortest, began));
            }
            if let Some(full) = full {
                let most = until.since(now).min(MAX_WAIT_AT_ENGINE.max(full.wait));
                if let Ok(permit) = self.gateway.acquire_permit(&full.placement, most).await {
                    return Ok((full.placement, Some(permit)));
                }
            }
            sleep(PAUSE).await;
        }
    }

    fn place_anywhere(&self, verdict: Verdict) -> Result<Placement, Refusal> {
        let placed = self.place(verdict, &[]);
        placed.ok_or_else(|| self.no_engine_refusal())
    }

    /// Waits for a moment while an engine may turn out to be fragile; returns whether it has waited. An engine that has not
    /// answered by then may just be slow, and is sent the request all the same.
    async fn await_first_answer(&self, placement: &Placement) -> bool {
        let clock = self.gateway.clock();
        let began = clock.now();
        let is_waiting = || self.gateway.awaits_first_answer(placement);
        if !is_waiting() {
            return false;
        }
        while is_waiting() && clock.now().since(began) < MAX_FIRST_ANSWER_WAIT {
            sleep(FIRST_ANSWER_CHECK_INTERVAL).await;
        }
        true
    }

    /// Asks for a permit that is free now, beginning with the engine of `first`. Returns the engine with the shortest
    /// wait if there is none.
    async fn poll_engines(
        &self,
        verdict: Verdict,
        first: Option<Placement>,
    ) -> Result<(Placement, Option<Permit>), Option<Full>> {
        let mut passed_over: Vec<BackEndName> = Vec::new();
        let mut best: Option<Full> = None;
        let mut next = first;
        while passed_over.len() < MAX_POLLED {
            let placed = next.take().or_else(|| self.place(verdict, &passed_over));
            let Some(placement) = placed else {
                break;
            };
            if !self.gateway.needs_permit(&placement) {
                return Ok((placement, None));
            }
            let asked = self
                .gateway
                .acquire_permit(&placement, Duration::ZERO)
                .await;
            let denial = match asked {
                Ok(permit) => return Ok((placement, Some(permit))),
                Err(denial) => denial,
            };
            passed_over.push(placement.engine.clone());
            if let Some(wait) = denial.wait
                && best.as_ref().is_none_or(|best| wait < best.wait)
            {
                best = Some(Full { placement, wait });
            }
        }
        Err(best)
    }

    /// The refusal when no permit can be had in time.
    fn permit_refusal(&self, wait: Option<Duration>, began: Timestamp) -> Refusal {
        let now = self.gateway.clock().now();
        if let Some(left_out) = self.gateway.unserved_sampler().admit(now) {
            info!(self.gateway.log(), "permit_denied"; "request" => &self.request.caller.id,
                "pool" => %self.request.pool, "wait_ms" => wait.map(|wait| wait.as_millis() as u64),
                "waited_ms" => now.since(began).as_millis() as u64, "left_out" => left_out);
        }
        if self.may_have_run {
            return Refusal::new(RefusalReason::MayHaveRun, "no other engine for a retry");
        }
        let detail = format!("the engines of pool '{}' are full", self.request.pool);
        Refusal::new(RefusalReason::Overloaded, detail)
            .with_retry_after(self.retry_after(wait.unwrap_or(UNKNOWN_WAIT)))
    }
}
