//! Requests about a standing catalogue.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use ryerouter_core::Timestamp;

use super::arrival::exponential;
use super::hot_item::HotItem;
use super::item::{Item, draw};
use super::tenant_prefix::TenantPrefix;
use super::weighted_choice::WeightedChoice;
use super::{ModelPrompt, SessionId};
use crate::scenario::ModelWork;

/// Draws the requests of a class whose items stand for long and are asked about by many callers.
#[derive(Debug)]
pub(super) struct CatalogueItems<'a> {
    pub tenants: &'a [Arc<TenantPrefix>],
    pub tenant_choice: &'a WeightedChoice,
    pub work: &'a ModelWork,
    pub class_name: &'a str,
    pub requests_per_second: f64,
    pub size: u32,
    pub zipf_exponent: f64,
    pub requests_per_item: u32,
    pub callers: u32,
    pub hot_share: f64,
    pub hot_period: Duration,
    pub hot_item_tokens: u32,
}

impl CatalogueItems<'_> {
    /// All requests up to `end`.
    pub fn draw_all(
        &self,
        end: Timestamp,
        rng: &mut ChaCha8Rng,
    ) -> Vec<(Timestamp, SessionId, Item, ModelPrompt)> {
        let between = Duration::from_secs_f64(1.0 / self.requests_per_second);
        let popularity = WeightedChoice::zipf(self.size, self.zipf_exponent);
        let mut written = 0;
        let mut catalogues = self.first_catalogues(&mut written, rng);
        let mut hot = self.next_hot(Timestamp::ZERO, &mut written, rng);
        let mut requests = Vec::new();
        let mut at = Timestamp::ZERO.after(exponential(between, rng));
        while at < end {
            if at >= hot.until {
                hot = self.next_hot(at, &mut written, rng);
            }
            let item = if rng.random_bool(self.hot_share) {
                hot.item.clone()
            } else {
                let catalogue = &mut catalogues[self.tenant_choice.draw(rng)];
                let rank = popularity.draw(rng);
                self.maybe_replace(&mut catalogue[rank], &mut written, rng);
                catalogue[rank].clone()
            };
            let caller = SessionId(rng.random_range(0..u64::from(self.callers)));
            let title = format!("Question {} on {}:", requests.len(), self.class_name);
            let prompt = item.ask(&title, self.work, rng);
            requests.push((at, caller, item, prompt));
            at = at.after(exponential(between, rng));
        }
        requests
    }

    fn first_catalogues(&self, written: &mut u64, rng: &mut ChaCha8Rng) -> Vec<Vec<Item>> {
        let mut catalogues = Vec::new();
        for tenant in self.tenants {
            let items = (0..self.size).map(|_| self.write_item(tenant, written, rng));
            catalogues.push(items.collect());
        }
        catalogues
    }

    fn maybe_replace(&self, item: &mut Item, written: &mut u64, rng: &mut ChaCha8Rng) {
        if rng.random_ratio(1, self.requests_per_item) {
            let tenant = item.tenant.clone();
            *item = self.write_item(&tenant, written, rng);
        }
    }

    fn write_item(
        &self,
        tenant: &Arc<TenantPrefix>,
        written: &mut u64,
        rng: &mut ChaCha8Rng,
    ) -> Item {
        let tokens = draw(self.work.item_tokens, rng);
        self.write(tenant, tokens, written, rng)
    }

    fn next_hot(&self, now: Timestamp, written: &mut u64, rng: &mut ChaCha8Rng) -> HotItem {
        let tenant = &self.tenants[self.tenant_choice.draw(rng)];
        let item = self.write(tenant, self.hot_item_tokens, written, rng);
        HotItem {
            item,
            until: now.after(exponential(self.hot_period, rng)),
        }
    }

    fn write(
        &self,
        tenant: &Arc<TenantPrefix>,
        tokens: u32,
        written: &mut u64,
        rng: &mut ChaCha8Rng,
    ) -> Item {
        *written += 1;
        let title = format!("{} item {written} of {}:", self.class_name, tenant.tenant);
        Item::new(tenant.clone(), &title, tokens, rng)
    }
}
