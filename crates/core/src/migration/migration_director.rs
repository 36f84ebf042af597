//! The migration director.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::catalog::{Catalog, MigrationStage, StageProgress, StageState};
use crate::config::{Change, Expectation, Mutation, Resource};
use crate::identity::{ChangeId, ResourceVersion, StageName};
use crate::order::HeldLease;
use crate::timestamp::Timestamp;

use super::{
    MigrationAction, MigrationEvent, MigrationSettings, SideMeasurement, StageMeasurement,
    StageVerdict, judge,
};

const AUTHOR: &str = "migration-director";

/// A step of a stage as this process has watched it.
#[derive(Debug, Clone)]
struct WatchedStep {
    progress: ResourceVersion,
    hold_from: Timestamp,
    holds: u32,
    source: SideMeasurement,
    target: SideMeasurement,
    collect_at: Timestamp,
    proposed_at: Option<Timestamp>,
}

/// Raises the shares of stages step by step, holds them and takes them back.
///
/// Where a stage stands is in the configuration alone, so a new holder goes on from there; it only
/// starts the hold time of the running step anew. Every write names the version it was made from
/// and a change id made of it, so a write that is repeated, or comes late from a holder that was
/// paused, has no effect.
#[derive(Debug, Clone)]
pub struct MigrationDirector {
    settings: MigrationSettings,
    catalog: Arc<Catalog>,
    lease: Option<HeldLease>,
    steps: BTreeMap<StageName, WatchedStep>,
}

impl MigrationDirector {
    /// A director that holds no lease.
    pub fn new(settings: MigrationSettings) -> Self {
        Self {
            settings,
            catalog: Arc::default(),
            lease: None,
            steps: BTreeMap::new(),
        }
    }

    /// Takes an event and appends what must be done to `actions`.
    pub fn handle(
        &mut self,
        event: MigrationEvent,
        now: Timestamp,
        actions: &mut Vec<MigrationAction>,
    ) {
        match event {
            MigrationEvent::CatalogChanged(catalog) => self.catalog = catalog,
            MigrationEvent::LeaseChanged(lease) => self.change_lease(lease),
            MigrationEvent::Measured(measurement) => self.note(&measurement),
            MigrationEvent::Tick => self.tick(now, actions),
        }
    }

    /// What was watched under an earlier lease may have gaps.
    fn change_lease(&mut self, lease: Option<HeldLease>) {
        let number = |lease: Option<HeldLease>| lease.map(|held| held.fencing_number);
        if number(lease) != number(self.lease) {
            self.steps.clear();
        }
        self.lease = lease;
    }

    fn note(&mut self, measurement: &StageMeasurement) {
        if let Some(step) = self.steps.get_mut(&measurement.stage)
            && step.progress == measurement.progress
        {
            step.source.add(&measurement.source);
            step.target.add(&measurement.target);
        }
    }

    fn tick(&mut self, now: Timestamp, actions: &mut Vec<MigrationAction>) {
        if !self.lease.is_some_and(|lease| lease.is_valid(now)) {
            return;
        }
        let catalog = Arc::clone(&self.catalog);
        self.steps.retain(|name, _| {
            let stage = catalog.stages.get(name);
            stage.is_some_and(|stage| stage.state == StageState::Running)
        });
        for stage in catalog.stages.values() {
            if stage.state == StageState::Running && stage.step_permille > 0 {
                self.direct(&catalog, stage, now, actions);
            }
        }
    }

    fn direct(
        &mut self,
        catalog: &Catalog,
        stage: &MigrationStage,
        now: Timestamp,
        actions: &mut Vec<MigrationAction>,
    ) {
        let Some(progress) = catalog.stage_progress.get(&stage.name) else {
            return;
        };
        if progress.finished {
            return;
        }
        let settings = self.settings;
        let step = self.watched(&stage.name, progress, now);
        let waits = step
            .proposed_at
            .is_some_and(|at| now < at.after(settings.proposal_timeout));
        if waits {
            return;
        }
        if progress.share_permille == 0 {
            propose(step, first_step(stage, progress), now, actions);
            return;
        }
        if now >= step.collect_at {
            step.collect_at = now.after(settings.collect_interval);
            actions.push(MigrationAction::Collect(stage.name.clone()));
        }
        let verdict = judge(&stage.rollback_rule, &step.source, &step.target, &settings);
        if let StageVerdict::Broken(found) = verdict {
            propose(step, rolled_back(stage, &found), now, actions);
            return;
        }
        if now < step.hold_from.after(hold_time(stage, &settings)) {
            return;
        }
        match verdict {
            StageVerdict::Good => propose(step, next_step(stage, progress), now, actions),
            StageVerdict::Worse(found) if step.holds + 1 >= settings.max_holds => {
                propose(step, paused(stage, &found), now, actions);
            }
            // Few requests are no fault of the target: the step just takes longer.
            StageVerdict::TooFew => {}
            StageVerdict::Worse(_) | StageVerdict::Broken(_) => step.hold_again(now),
        }
    }

    fn watched(
        &mut self,
        name: &StageName,
        progress: &StageProgress,
        now: Timestamp,
    ) -> &mut WatchedStep {
        let collect_at = now.after(self.settings.collect_interval);
        let fresh = || WatchedStep {
            progress: progress.version,
            hold_from: now,
            holds: 0,
            source: SideMeasurement::default(),
            target: SideMeasurement::default(),
            collect_at,
            proposed_at: None,
        };
        let step = self.steps.entry(name.clone()).or_insert_with(fresh);
        if step.progress != progress.version {
            *step = fresh();
        }
        step
    }
}

impl WatchedStep {
    /// Judges the next hold time by what is measured in it alone: caches may have warmed up.
    fn hold_again(&mut self, now: Timestamp) {
        self.hold_from = now;
        self.holds += 1;
        self.source = SideMeasurement::default();
        self.target = SideMeasurement::default();
    }
}

fn hold_time(stage: &MigrationStage, settings: &MigrationSettings) -> Duration {
    Duration::from_secs(stage.hold_seconds.into()).max(settings.min_hold)
}

fn propose(
    step: &mut WatchedStep,
    change: Change,
    now: Timestamp,
    actions: &mut Vec<MigrationAction>,
) {
    step.proposed_at = Some(now);
    actions.push(MigrationAction::Propose(change));
}

fn first_step(stage: &MigrationStage, progress: &StageProgress) -> Change {
    let share = stage.step_permille.min(stage.target_share_permille);
    with_progress(stage, progress, share, "first step")
}

fn next_step(stage: &MigrationStage, progress: &StageProgress) -> Change {
    let share = progress.share_permille.saturating_add(stage.step_permille);
    let share = share.min(stage.target_share_permille);
    with_progress(stage, progress, share, "held without complaint")
}

fn with_progress(
    stage: &MigrationStage,
    progress: &StageProgress,
    share_permille: u16,
    note: &str,
) -> Change {
    let next = StageProgress {
        stage: stage.name.clone(),
        share_permille,
        finished: share_permille == progress.share_permille,
        note: note.to_owned(),
        version: progress.version,
    };
    let mutation = Mutation::Put {
        resource: Resource::StageProgress(next),
        expected: Expectation::Version(progress.version),
    };
    change(stage, progress.version, "step", vec![mutation])
}

fn rolled_back(stage: &MigrationStage, found: &str) -> Change {
    with_state(stage, StageState::RolledBack, found)
}

fn paused(stage: &MigrationStage, found: &str) -> Change {
    with_state(stage, StageState::Paused, found)
}

/// The reason goes into the author, which operators see with the change.
fn with_state(stage: &MigrationStage, state: StageState, found: &str) -> Change {
    let mut next = stage.clone();
    next.state = state;
    let mutation = Mutation::Put {
        resource: Resource::Stage(next),
        expected: Expectation::Version(stage.version),
    };
    let mut change = change(stage, stage.version, "state", vec![mutation]);
    change.author = format!("{AUTHOR}: {found}");
    change
}

/// The id names the version the change was made from, so repeating it has no second effect.
fn change(
    stage: &MigrationStage,
    from: ResourceVersion,
    kind: &str,
    mutations: Vec<Mutation>,
) -> Change {
    Change {
        change_id: ChangeId::new(format!("{AUTHOR}-{}-{kind}-{from}", stage.name)),
        author: AUTHOR.to_owned(),
        mutations,
    }
}
