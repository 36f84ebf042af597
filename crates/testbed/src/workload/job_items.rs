//! Requests of jobs.

use std::sync::Arc;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use ryerouter_core::Timestamp;

use super::arrival::exponential;
use super::item::{Item, draw};
use super::tenant_prefix::TenantPrefix;
use super::weighted_choice::WeightedChoice;
use super::{ModelPrompt, SessionId};
use crate::scenario::{ModelWork, RangeSpec};

/// Draws the requests of a class whose items are worked through one by one.
#[derive(Debug)]
pub(super) struct JobItems<'a> {
    pub tenants: &'a [Arc<TenantPrefix>],
    pub tenant_choice: &'a WeightedChoice,
    pub work: &'a ModelWork,
    pub class_name: &'a str,
    pub requests_per_second: f64,
    pub questions: RangeSpec,
    pub gap: Duration,
}

impl JobItems<'_> {
    /// All requests up to `end`. Jobs began before the run too, so that the rate is steady from its
    /// start.
    pub fn draw_all(
        &self,
        end: Timestamp,
        rng: &mut ChaCha8Rng,
    ) -> Vec<(Timestamp, SessionId, Item, ModelPrompt)> {
        let mean_questions = self.questions.mean();
        let lead = self.gap.mul_f64(mean_questions);
        let between_jobs = Duration::from_secs_f64(mean_questions / self.requests_per_second);
        let mut requests = Vec::new();
        let mut job_start = exponential(between_jobs, rng);
        let mut number = 0;
        while Timestamp::ZERO.after(job_start) < end.after(lead) {
            self.draw_job(number, job_start, lead, end, rng, &mut requests);
            job_start += exponential(between_jobs, rng);
            number += 1;
        }
        requests
    }

    /// Draws one job. Times are shifted by `lead`; what falls before the run is left out.
    fn draw_job(
        &self,
        number: u64,
        start: Duration,
        lead: Duration,
        end: Timestamp,
        rng: &mut ChaCha8Rng,
        requests: &mut Vec<(Timestamp, SessionId, Item, ModelPrompt)>,
    ) {
        let tenant = self.tenants[self.tenant_choice.draw(rng)].clone();
        let title = format!("{} {number} of {}:", self.class_name, tenant.tenant);
        let tokens = draw(self.work.item_tokens, rng);
        let item = Item::new(tenant, &title, tokens, rng);
        let mut at = start;
        for question in 0..draw(self.questions, rng) {
            let title = format!("Question {question} on {} {number}:", self.class_name);
            let prompt = item.ask(&title, self.work, rng);
            let sent_at = at
                .checked_sub(lead)
                .map(|since| Timestamp::ZERO.after(since));
            if let Some(sent_at) = sent_at.filter(|sent_at| *sent_at < end) {
                requests.push((sent_at, SessionId(number), item.clone(), prompt));
            }
            at += exponential(self.gap, rng);
        }
    }
}
