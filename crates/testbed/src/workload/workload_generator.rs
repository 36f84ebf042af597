//! All requests of a scenario.

use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ryerouter_core::Timestamp;
use ryerouter_core::identity::{ModelName, RequestId, TenantName, WeightsVersion};

use super::arrival::exponential;
use super::catalogue_items::CatalogueItems;
use super::item::Item;
use super::job_items::JobItems;
use super::prompt_author::write_text;
use super::tenant_prefix::TenantPrefix;
use super::weighted_choice::WeightedChoice;
use super::{GeneratedRequest, GeneratedWork, Message, ModelPrompt, SessionId};
use crate::scenario::{ItemSpec, ModelWork, RequestClassSpec, RequestWork, Scenario};

/// All requests of a scenario, in the order in which callers send them.
#[derive(Debug, Clone, PartialEq)]
pub struct Workload {
    /// The requests.
    pub requests: Vec<GeneratedRequest>,
}

impl Workload {
    /// Draws all requests. The same scenario, weights version and seed give the same requests.
    pub fn generate(scenario: &Scenario, weights_version: WeightsVersion, seed: u64) -> Self {
        let tenants = write_tenants(scenario, weights_version, seed);
        let tenant_choice = WeightedChoice::new(scenario.tenants.iter().map(|spec| spec.share));
        let mut requests = Vec::new();
        for (class, spec) in scenario.classes.iter().enumerate() {
            let source = ClassSource {
                scenario,
                tenants: &tenants,
                tenant_choice: &tenant_choice,
                spec,
                class,
            };
            source.draw_all(&mut generator(seed, class as u64 + 1), &mut requests);
        }
        requests.sort_by_key(|request| (request.sent_at, request.class));
        for (number, request) in requests.iter_mut().enumerate() {
            request.request = RequestId::new(format!("{seed:x}-{number}"));
        }
        Self { requests }
    }
}

/// A generator of random numbers for one purpose, independent of all others.
fn generator(seed: u64, purpose: u64) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(purpose);
    rng
}

fn write_tenants(
    scenario: &Scenario,
    weights_version: WeightsVersion,
    seed: u64,
) -> Vec<Arc<TenantPrefix>> {
    let mut rng = generator(seed, 0);
    let title = format!("House style of {}:", scenario.name);
    let house_style = Message {
        role: Message::SYSTEM,
        text: write_text(&title, scenario.house_style_tokens, &mut rng),
    };
    let model = ModelName::new(&scenario.model_pool.model);
    let write = |spec| TenantPrefix::new(spec, &house_style, &model, weights_version, &mut rng);
    scenario.tenants.iter().map(write).map(Arc::new).collect()
}

/// One class of a scenario.
#[derive(Debug)]
struct ClassSource<'a> {
    scenario: &'a Scenario,
    tenants: &'a [Arc<TenantPrefix>],
    tenant_choice: &'a WeightedChoice,
    spec: &'a RequestClassSpec,
    class: usize,
}

impl ClassSource<'_> {
    fn draw_all(&self, rng: &mut ChaCha8Rng, requests: &mut Vec<GeneratedRequest>) {
        let end = Timestamp::ZERO.after(self.scenario.duration());
        match &self.spec.work {
            RequestWork::Service => self.draw_service(end, rng, requests),
            RequestWork::Model(work) => {
                let patience = Duration::from_millis(work.deadline_millis);
                for (sent_at, session, item, prompt) in self.draw_model(work, end, rng) {
                    let at_most_once = self.draw_at_most_once(rng);
                    requests.push(GeneratedRequest {
                        request: RequestId::new(""),
                        sent_at,
                        class: self.class,
                        tenant: item.tenant.tenant.clone(),
                        session: self.session(session),
                        at_most_once,
                        patience: Some(patience),
                        work: GeneratedWork::Model(Box::new(prompt)),
                    });
                }
            }
        }
    }

    fn draw_model(
        &self,
        work: &ModelWork,
        end: Timestamp,
        rng: &mut ChaCha8Rng,
    ) -> Vec<(Timestamp, SessionId, Item, ModelPrompt)> {
        match &work.items {
            ItemSpec::Jobs {
                questions,
                gap_millis,
            } => JobItems {
                tenants: self.tenants,
                tenant_choice: self.tenant_choice,
                work,
                class_name: &self.spec.name,
                requests_per_second: self.spec.requests_per_second,
                questions: *questions,
                gap: Duration::from_millis(*gap_millis),
            }
            .draw_all(end, rng),
            ItemSpec::Catalogue {
                size,
                zipf_exponent,
                requests_per_item,
                callers,
                hot_share,
                hot_period_seconds,
                hot_item_tokens,
            } => CatalogueItems {
                tenants: self.tenants,
                tenant_choice: self.tenant_choice,
                work,
                class_name: &self.spec.name,
                requests_per_second: self.spec.requests_per_second,
                size: *size,
                zipf_exponent: *zipf_exponent,
                requests_per_item: *requests_per_item,
                callers: *callers,
                hot_share: *hot_share,
                hot_period: Duration::from_secs_f64(*hot_period_seconds),
                hot_item_tokens: *hot_item_tokens,
            }
            .draw_all(end, rng),
        }
    }

    fn draw_service(
        &self,
        end: Timestamp,
        rng: &mut ChaCha8Rng,
        requests: &mut Vec<GeneratedRequest>,
    ) {
        let between = Duration::from_secs_f64(1.0 / self.spec.requests_per_second);
        let mut sent_at = Timestamp::ZERO.after(exponential(between, rng));
        while sent_at < end {
            let tenant = &self.scenario.tenants[self.tenant_choice.draw(rng)];
            let session = SessionId(rng.random_range(0..SERVICE_CALLERS));
            requests.push(GeneratedRequest {
                request: RequestId::new(""),
                sent_at,
                class: self.class,
                tenant: TenantName::new(&tenant.name),
                session: self.session(session),
                at_most_once: self.draw_at_most_once(rng),
                patience: None,
                work: GeneratedWork::Service,
            });
            sent_at = sent_at.after(exponential(between, rng));
        }
    }

    fn draw_at_most_once(&self, rng: &mut ChaCha8Rng) -> bool {
        rng.random_ratio(self.spec.at_most_once_permille, PERMILLE)
    }

    /// Callers of different classes are different callers.
    fn session(&self, within_class: SessionId) -> SessionId {
        SessionId(((self.class as u64) << CLASS_SHIFT) | within_class.0)
    }
}

const SERVICE_CALLERS: u64 = 64;
const PERMILLE: u32 = 1_000;
const CLASS_SHIFT: u32 = 48;
