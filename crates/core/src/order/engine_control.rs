//! What the director knows of one engine.

use std::collections::BTreeSet;

use crate::identity::{AdapterName, Incarnation, WeightsVersion};
use crate::timestamp::Timestamp;

use super::{DirectorSettings, EngineOrder, EngineReport};

/// Fewer polls in a row without a report may be due to a lost packet or a restart of the engine.
const MIN_SILENT_POLLS: u32 = 2;

/// A weight load that may be running.
#[derive(Debug, Clone, Copy)]
pub(super) struct RunningLoad {
    pub weights_version: WeightsVersion,
    pub ordered_at: Timestamp,
}

/// What the director knows of one engine.
#[derive(Debug, Clone, Default)]
pub(super) struct EngineControl {
    pub report: Option<EngineReport>,
    pub load: Option<RunningLoad>,
    pub adapters: BTreeSet<AdapterName>,
    /// The order that waits for its answer.
    pub open_order: Option<EngineOrder>,
    pub order_again_at: Timestamp,
    pub poll_open: bool,
    pub poll_at: Timestamp,
    /// Polls in a row without a report.
    silent_polls: u32,
}

impl EngineControl {
    pub fn note_report(&mut self, report: EngineReport) {
        self.silent_polls = 0;
        self.note_incarnation(report.incarnation);
        if self
            .load
            .is_some_and(|load| load.weights_version == report.weights_version)
        {
            self.load = None;
        }
        self.report = Some(report);
    }

    /// A poll ended without a report.
    pub fn note_silent_poll(&mut self) {
        self.silent_polls += 1;
    }

    /// Whether the engine is out of reach and no load may be running there. Until it reports again it
    /// is polled, but keeps no other engine from loading.
    pub fn is_out_of_reach(&self) -> bool {
        self.silent_polls >= MIN_SILENT_POLLS && self.load.is_none()
    }

    /// A new process has lost what the one before had loaded or was loading.
    pub fn note_incarnation(&mut self, incarnation: Incarnation) {
        let known = self.report.map(|report| report.incarnation);
        if known.is_some_and(|known| known < incarnation) {
            self.report = None;
            self.load = None;
            self.adapters.clear();
            self.poll_at = Timestamp::ZERO;
        }
    }

    /// Ends a load that has taken so long that it must have failed.
    pub fn expire_load(&mut self, settings: &DirectorSettings, now: Timestamp) {
        if self
            .load
            .is_some_and(|load| now >= load.ordered_at.after(settings.load_timeout))
        {
            self.load = None;
        }
    }

    /// Whether it serves `weights_version` now.
    pub fn serves(&self, weights_version: WeightsVersion) -> bool {
        self.load.is_none()
            && self
                .report
                .is_some_and(|report| report.weights_version == weights_version)
    }
}
