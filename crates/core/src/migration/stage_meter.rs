//! Measures stages inside one router process.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::catalog::{Catalog, StageState};
use crate::dispatch::{Assignment, AttemptOutcome, EngineObservation, RequestProfile};
use crate::identity::{AttemptId, RequestId, ResourceVersion, StageName};
use crate::timestamp::Timestamp;

use super::{SideMeasurement, StageMeasurement};

/// A data centre of a stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Side {
    Source,
    Target,
}

#[derive(Debug, Clone)]
struct MeteredRequest {
    stage: StageName,
    arrived_at: Timestamp,
}

#[derive(Debug, Clone)]
struct MeteredAttempt {
    request: RequestId,
    side: Side,
}

/// Measures, inside one router process, the requests of stages that move step by step. Requests of
/// no such stage cost a look-up and no memory.
#[derive(Debug, Default)]
pub struct StageMeter {
    catalog: Arc<Catalog>,
    requests: BTreeMap<RequestId, MeteredRequest>,
    attempts: BTreeMap<AttemptId, MeteredAttempt>,
    measured: BTreeMap<StageName, StageMeasurement>,
}

impl StageMeter {
    /// Takes the configuration in force; what was measured of steps that are over is dropped.
    pub fn adopt(&mut self, catalog: Arc<Catalog>) {
        self.measured.retain(|name, measurement| {
            let progress = catalog.stage_progress.get(name);
            progress.is_some_and(|progress| progress.version == measurement.progress)
        });
        self.catalog = catalog;
    }

    /// A request arrived.
    pub fn submitted(&mut self, profile: &RequestProfile) {
        let stage = self.catalog.stage_of(&profile.pool, &profile.tenant);
        let metered =
            stage.filter(|stage| stage.state == StageState::Running && stage.step_permille > 0);
        if let Some(stage) = metered {
            let request = MeteredRequest {
                stage: stage.name.clone(),
                arrived_at: profile.arrived_at,
            };
            self.requests.insert(profile.request.clone(), request);
        }
    }

    /// An attempt starts.
    pub fn started(&mut self, request: &RequestId, assignment: &Assignment) {
        let Some(metered) = self.requests.get(request) else {
            return;
        };
        let Some(stage) = self.catalog.stages.get(&metered.stage) else {
            return;
        };
        let side = if assignment.data_centre == stage.source {
            Side::Source
        } else if assignment.data_centre == stage.target {
            Side::Target
        } else {
            return;
        };
        let attempt = MeteredAttempt {
            request: request.clone(),
            side,
        };
        self.attempts.insert(assignment.attempt, attempt);
    }

    /// The first token of an attempt arrived.
    pub fn first_token(&mut self, attempt: AttemptId, now: Timestamp) {
        let Some(metered) = self.attempts.get(&attempt) else {
            return;
        };
        let Some(request) = self.requests.get(&metered.request) else {
            return;
        };
        let time = now.since(request.arrived_at);
        if let Some(side) = self.side(attempt) {
            side.first_token.record(time);
        }
    }

    /// An attempt ended.
    pub fn ended(
        &mut self,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        observation: Option<&EngineObservation>,
    ) {
        if let Some(side) = self.side(attempt) {
            note_end(side, outcome, observation);
        }
        self.attempts.remove(&attempt);
    }

    /// A request is over.
    pub fn finished(&mut self, request: &RequestId) {
        self.requests.remove(request);
    }

    /// Takes what was measured of a stage since the last time.
    pub fn take(&mut self, stage: &StageName) -> Option<StageMeasurement> {
        self.measured.remove(stage)
    }

    fn side(&mut self, attempt: AttemptId) -> Option<&mut SideMeasurement> {
        let metered = self.attempts.get(&attempt)?;
        let request = self.requests.get(&metered.request)?;
        let progress = self.progress(&request.stage);
        let name = request.stage.clone();
        let measurement = self
            .measured
            .entry(name.clone())
            .or_insert_with(|| StageMeasurement {
                stage: name,
                progress,
                source: SideMeasurement::default(),
                target: SideMeasurement::default(),
            });
        Some(match metered.side {
            Side::Source => &mut measurement.source,
            Side::Target => &mut measurement.target,
        })
    }

    fn progress(&self, stage: &StageName) -> ResourceVersion {
        let progress = self.catalog.stage_progress.get(stage);
        progress.map_or_else(ResourceVersion::default, |progress| progress.version)
    }
}

/// Attempts that certainly did not run, or were cancelled, say nothing of a data centre's quality.
fn note_end(
    side: &mut SideMeasurement,
    outcome: AttemptOutcome,
    observation: Option<&EngineObservation>,
) {
    match outcome {
        AttemptOutcome::Completed => side.attempts += 1,
        AttemptOutcome::Broken { .. } | AttemptOutcome::Unknown => {
            side.attempts += 1;
            side.errors += 1;
        }
        AttemptOutcome::NotRun(_) | AttemptOutcome::Cancelled => return,
    }
    let Some(observation) = observation else {
        return;
    };
    if let (Some(prompt), Some(cached)) = (observation.prompt_tokens, observation.cached_tokens) {
        side.prompt_tokens += u64::from(prompt);
        side.cached_tokens += u64::from(cached);
    }
}
