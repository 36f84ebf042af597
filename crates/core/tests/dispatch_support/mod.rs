//! A dispatcher with a small catalog, driven one event at a time.
#![allow(dead_code)] // Each test file uses its own part.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::catalog::{BackEnd, BackEndState, Catalog, Pool, PoolKind};
use ryerouter_core::dispatch::{
    Assignment, AttemptOutcome, DispatchAction, DispatchEvent, DispatchParameters, Dispatcher,
    EngineObservation, FinalOutcome, Priority, Refusal, Repeatability, RequestProfile,
    RoutingSnapshot,
};
use ryerouter_core::identity::{
    AttemptId, BackEndName, IdempotencyKey, Incarnation, PoolName, RequestId, ResourceVersion,
    TenantName, WeightsVersion,
};
use ryerouter_core::prompt::{PrefixChain, PrefixChainBuilder, PrefixSalt};

pub const MODEL_POOL: &str = "appraiser";
pub const SERVICE_POOL: &str = "storefront";
pub const WEIGHTS: WeightsVersion = WeightsVersion(7);

/// A dispatcher and the clock it is driven by.
pub struct Fixture {
    pub dispatcher: Dispatcher,
    pub catalog: Catalog,
    pub snapshot: RoutingSnapshot,
    pub now: Timestamp,
}

impl Fixture {
    /// A dispatcher before `engines` engines, spread over two zones of one data centre.
    pub fn new(engines: usize) -> Self {
        Self::with_parameters(engines, DispatchParameters::default())
    }

    pub fn with_parameters(engines: usize, parameters: DispatchParameters) -> Self {
        let dispatcher =
            Dispatcher::with_parameters("kingston".into(), "zone-0".into(), 42, parameters);
        let mut catalog = Catalog::default();
        add_pool(
            &mut catalog,
            MODEL_POOL,
            PoolKind::Model {
                model: "appraiser-llm".into(),
                weights_version: WEIGHTS,
                adapters: Vec::new(),
                weight_loads_at_once: 3,
            },
        );
        add_pool(&mut catalog, SERVICE_POOL, PoolKind::Service);
        for index in 0..engines {
            let zone = format!("zone-{}", index % 2);
            add_back_end(&mut catalog, MODEL_POOL, index, "kingston", &zone);
            add_back_end(&mut catalog, SERVICE_POOL, index, "kingston", &zone);
        }
        let mut fixture = Self {
            dispatcher,
            catalog,
            snapshot: RoutingSnapshot::default(),
            now: Timestamp::from_millis(1_000_000),
        };
        fixture.publish();
        fixture
    }

    /// Publishes the catalog and the leaving back ends as they stand in the fixture.
    pub fn publish(&mut self) {
        self.catalog.version = self.catalog.version.next();
        self.snapshot.catalog = Arc::new(self.catalog.clone());
        let snapshot = Arc::new(self.snapshot.clone());
        self.handle(DispatchEvent::SnapshotPublished(snapshot));
    }

    pub fn handle(&mut self, event: DispatchEvent) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        self.dispatcher.handle(event, self.now, &mut actions);
        actions
    }

    pub fn advance(&mut self, by: Duration) -> Vec<DispatchAction> {
        self.now = self.now.after(by);
        self.handle(DispatchEvent::Tick)
    }

    pub fn submit(&mut self, profile: RequestProfile) -> Vec<DispatchAction> {
        self.handle(DispatchEvent::Submitted(Box::new(profile)))
    }

    pub fn end(&mut self, attempt: AttemptId, outcome: AttemptOutcome) -> Vec<DispatchAction> {
        self.handle(DispatchEvent::AttemptEnded {
            attempt,
            outcome,
            observation: None,
        })
    }

    pub fn end_with(
        &mut self,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        observation: EngineObservation,
    ) -> Vec<DispatchAction> {
        self.handle(DispatchEvent::AttemptEnded {
            attempt,
            outcome,
            observation: Some(observation),
        })
    }

    pub fn answer(&mut self, attempt: AttemptId, incarnation: u64) {
        self.handle(DispatchEvent::AnswerStarted {
            attempt,
            observation: observation(incarnation),
        });
    }

    /// A repeatable request of `tenant` with these nested messages.
    pub fn profile(&self, request: &str, tenant: &str, messages: &[&str]) -> RequestProfile {
        let prefix = chain(tenant, WEIGHTS, messages);
        RequestProfile {
            request: RequestId::new(request),
            tenant: TenantName::new(tenant),
            pool: PoolName::new(MODEL_POOL),
            prompt_tokens: prefix.tokens(),
            prefix,
            expected_output_tokens: 100,
            priority: Priority::Interactive,
            deadline: None,
            repeatability: Repeatability::Repeatable,
            arrived_at: self.now,
        }
    }

    pub fn service_profile(&self, request: &str) -> RequestProfile {
        RequestProfile {
            pool: PoolName::new(SERVICE_POOL),
            prefix: PrefixChain::default(),
            prompt_tokens: 0,
            ..self.profile(request, "tenant-a", &[])
        }
    }
}

pub fn at_most_once(profile: RequestProfile) -> RequestProfile {
    let key = IdempotencyKey::new(profile.request.as_str());
    RequestProfile {
        repeatability: Repeatability::AtMostOnce(key),
        ..profile
    }
}

pub fn chain(tenant: &str, weights_version: WeightsVersion, messages: &[&str]) -> PrefixChain {
    let salt = PrefixSalt {
        tenant: &TenantName::new(tenant),
        model: &"appraiser-llm".into(),
        weights_version,
        adapter: None,
    };
    let mut builder = PrefixChainBuilder::new(&salt);
    for message in messages {
        builder.push_message("user", message);
    }
    builder.finish()
}

pub fn observation(incarnation: u64) -> EngineObservation {
    EngineObservation {
        incarnation: Incarnation(incarnation),
        weights_version: WEIGHTS,
        ..EngineObservation::default()
    }
}

pub fn add_pool(catalog: &mut Catalog, name: &str, kind: PoolKind) {
    let pool = Pool {
        name: name.into(),
        kind,
        kv_store: None,
        version: ResourceVersion::default(),
    };
    catalog.pools.insert(pool.name.clone(), pool);
}

pub fn add_back_end(
    catalog: &mut Catalog,
    pool: &str,
    index: usize,
    data_centre: &str,
    zone: &str,
) {
    let name = BackEndName::new(format!("{pool}-{data_centre}-{index}"));
    let back_end = BackEnd {
        name: name.clone(),
        pool: pool.into(),
        address: format!("127.0.0.1:{}", 10_000 + index).parse().unwrap(),
        data_centre: data_centre.into(),
        zone: zone.into(),
        state: BackEndState::Active,
        version: ResourceVersion::default(),
    };
    catalog.back_ends.insert(name, back_end);
}

/// The one attempt among the actions.
pub fn started(actions: &[DispatchAction]) -> Assignment {
    let assignments: Vec<_> = all_started(actions);
    assert_eq!(assignments.len(), 1, "one attempt expected: {actions:?}");
    assignments[0].clone()
}

pub fn all_started(actions: &[DispatchAction]) -> Vec<Assignment> {
    actions
        .iter()
        .filter_map(|action| match action {
            DispatchAction::Start { assignment, .. } => Some((**assignment).clone()),
            _ => None,
        })
        .collect()
}

/// The one final outcome, which must be the only action.
pub fn finished(actions: &[DispatchAction]) -> FinalOutcome {
    match actions {
        [DispatchAction::Finish { outcome, .. }] => *outcome,
        other => panic!("one final outcome expected: {other:?}"),
    }
}

pub fn refused(actions: &[DispatchAction]) -> Refusal {
    match finished(actions) {
        FinalOutcome::Refused(refusal) => refusal,
        other => panic!("refusal expected: {other:?}"),
    }
}

/// How many assignments each back end got.
pub fn count_by_back_end(assignments: &[Assignment]) -> BTreeMap<BackEndName, usize> {
    let mut counts = BTreeMap::new();
    for assignment in assignments {
        *counts.entry(assignment.back_end.clone()).or_default() += 1;
    }
    counts
}
