//! Migration directors before a configuration log and data centres with set behaviour.

use std::sync::Arc;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::catalog::{Catalog, MigrationStage, RollbackRule, StageState};
use ryerouter_core::config::{Change, Expectation, LogEntry, Mutation, Resource};
use ryerouter_core::identity::{ChangeId, FencingNumber, ResourceVersion, StageName};
use ryerouter_core::migration::{
    MigrationAction, MigrationDirector, MigrationEvent, MigrationSettings, SideMeasurement,
    StageMeasurement,
};
use ryerouter_core::order::HeldLease;

const START: Timestamp = Timestamp::from_millis(1_000_000);
const SECOND: Duration = Duration::from_secs(1);
const REQUESTS_PER_COLLECTION: u64 = 400;
const PROMPT_TOKENS: u64 = 1_000;

/// How a data centre behaves.
#[derive(Debug, Clone, Copy)]
pub struct Behaviour {
    pub first_token: Duration,
    pub error_permille: u64,
    pub hit_permille: u64,
}

impl Behaviour {
    pub const USUAL: Self = Self {
        first_token: Duration::from_millis(200),
        error_permille: 0,
        hit_permille: 700,
    };
}

/// A director that may hold the lease, and whether it runs.
struct Holder {
    director: MigrationDirector,
    number: FencingNumber,
    /// Changes it wanted to make while its way to the store was cut.
    held_back: Vec<Change>,
    cut: bool,
}

pub struct MigrationBench {
    holders: Vec<Holder>,
    catalog: Catalog,
    written: Vec<Change>,
    pub source: Behaviour,
    pub target: Behaviour,
    pub traffic: bool,
    pub store_up: bool,
    shares: Vec<u16>,
    now: Timestamp,
}

pub fn stage_name() -> StageName {
    StageName::new("letters-to-port-royal")
}

pub fn stage() -> MigrationStage {
    MigrationStage {
        name: stage_name(),
        pool: "appraiser".into(),
        tenant: None,
        source: "new-kingston".into(),
        target: "port-royal".into(),
        target_share_permille: 1_000,
        step_permille: 250,
        hold_seconds: 60,
        rollback_rule: RollbackRule {
            max_first_token_p99_ms: Some(1_000),
            max_error_permille: Some(20),
            min_hit_rate_permille: Some(300),
        },
        state: StageState::Running,
        version: ResourceVersion(0),
    }
}

impl MigrationBench {
    pub fn new() -> Self {
        let mut bench = Self {
            holders: Vec::new(),
            catalog: Catalog::default(),
            written: Vec::new(),
            source: Behaviour::USUAL,
            target: Behaviour::USUAL,
            traffic: true,
            store_up: true,
            shares: Vec::new(),
            now: START,
        };
        bench.operator_puts(stage());
        bench.new_holder();
        bench
    }

    /// Another process takes the lease; those before are not told.
    pub fn new_holder(&mut self) {
        let number = FencingNumber(self.holders.len() as u64 + 1);
        self.holders.push(Holder {
            director: MigrationDirector::new(MigrationSettings::default()),
            number,
            held_back: Vec::new(),
            cut: false,
        });
        self.publish();
    }

    pub fn cut_from_store(&mut self, holder: usize) {
        self.holders[holder].cut = true;
    }

    /// What a holder wanted to write while it was cut off arrives now.
    pub fn deliver_held_back(&mut self, holder: usize) {
        for change in std::mem::take(&mut self.holders[holder].held_back) {
            self.write(change);
        }
    }

    pub fn operator_puts(&mut self, stage: MigrationStage) {
        let number = self.written.len();
        self.write(Change {
            change_id: ChangeId::new(format!("operator-{number}")),
            author: "operator".to_owned(),
            mutations: vec![Mutation::Put {
                resource: Resource::Stage(stage),
                expected: Expectation::Any,
            }],
        });
    }

    pub fn set_state(&mut self, state: StageState) {
        let mut stage = self.catalog.stages[&stage_name()].clone();
        stage.state = state;
        self.operator_puts(stage);
    }

    pub fn run(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.now = self.now.after(SECOND);
            for holder in 0..self.holders.len() {
                self.renew(holder);
                self.event(holder, MigrationEvent::Tick);
            }
            self.note_share();
        }
    }

    pub fn share(&self) -> u16 {
        self.catalog
            .stage_share(&self.catalog.stages[&stage_name()])
    }

    pub fn state(&self) -> StageState {
        self.catalog.stages[&stage_name()].state
    }

    pub fn is_finished(&self) -> bool {
        self.catalog.stage_progress[&stage_name()].finished
    }

    /// Shares in the order in which they were in force.
    pub fn shares(&self) -> &[u16] {
        &self.shares
    }

    pub fn last_author(&self) -> &str {
        self.written.last().map_or("", |change| &change.author)
    }

    pub fn changes(&self) -> usize {
        self.written.len()
    }

    fn note_share(&mut self) {
        let share = self.share();
        if self.shares.last() != Some(&share) {
            self.shares.push(share);
        }
    }

    fn renew(&mut self, holder: usize) {
        let lease = HeldLease {
            fencing_number: self.holders[holder].number,
            valid_until: self.now.after(SECOND * 10),
        };
        self.event(holder, MigrationEvent::LeaseChanged(Some(lease)));
    }

    fn event(&mut self, holder: usize, event: MigrationEvent) {
        let mut actions = Vec::new();
        let director = &mut self.holders[holder].director;
        director.handle(event, self.now, &mut actions);
        for action in actions {
            match action {
                MigrationAction::Collect(_) => {
                    let measurement = self.measurement();
                    self.event(holder, MigrationEvent::Measured(measurement));
                }
                MigrationAction::Propose(change) if self.holders[holder].cut => {
                    self.holders[holder].held_back.push(change);
                }
                MigrationAction::Propose(change) => {
                    if self.store_up {
                        self.write(change);
                    }
                }
            }
        }
    }

    /// What the log does: a change id counts once, and expectations must hold.
    fn write(&mut self, change: Change) {
        let known = |written: &Change| written.change_id == change.change_id;
        if self.written.iter().any(known) || !self.expectations_hold(&change) {
            return;
        }
        let entry = LogEntry {
            version: self.catalog.version.next(),
            written_at: self.now,
            change: change.clone(),
        };
        entry.apply_to(&mut self.catalog);
        self.written.push(change);
        self.publish();
    }

    fn expectations_hold(&self, change: &Change) -> bool {
        change.mutations.iter().all(|mutation| {
            let actual = match mutation {
                Mutation::Put {
                    resource: Resource::StageProgress(progress),
                    ..
                } => self.catalog.stage_progress[&progress.stage].version,
                _ => self
                    .catalog
                    .stages
                    .get(&stage_name())
                    .map(|stage| stage.version)
                    .unwrap_or_default(),
            };
            match mutation.expected() {
                Expectation::Version(version) => version == actual,
                Expectation::Any | Expectation::Absent => true,
            }
        })
    }

    fn publish(&mut self) {
        let catalog = Arc::new(self.catalog.clone());
        for holder in 0..self.holders.len() {
            self.event(holder, MigrationEvent::CatalogChanged(Arc::clone(&catalog)));
        }
    }

    fn measurement(&self) -> StageMeasurement {
        let requests = if self.traffic {
            REQUESTS_PER_COLLECTION
        } else {
            1
        };
        let share = u64::from(self.share());
        StageMeasurement {
            stage: stage_name(),
            progress: self.catalog.stage_progress[&stage_name()].version,
            source: measured(self.source, requests * (1_000 - share) / 1_000),
            target: measured(self.target, requests * share / 1_000),
        }
    }
}

fn measured(behaviour: Behaviour, attempts: u64) -> SideMeasurement {
    let mut side = SideMeasurement {
        attempts,
        errors: attempts * behaviour.error_permille / 1_000,
        prompt_tokens: attempts * PROMPT_TOKENS,
        cached_tokens: attempts * PROMPT_TOKENS * behaviour.hit_permille / 1_000,
        ..SideMeasurement::default()
    };
    for _ in 0..attempts {
        side.first_token.record(behaviour.first_token);
    }
    side
}
