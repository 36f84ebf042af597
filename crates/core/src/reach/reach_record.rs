//! Observations of one engine by all nodes.

use std::collections::BTreeSet;
use std::time::Duration;

use super::{Doubt, EngineView, Reporter, Site};
use crate::identity::Incarnation;
use crate::timestamp::Timestamp;

/// Nodes that must have failed to reach an engine before it is doubted.
const MIN_REPORTERS: usize = 2;
/// Maximum number of reporters kept for one engine. More add nothing to the decision.
const MAX_REPORTERS: usize = 8;

/// A node's last failure to reach the engine.
#[derive(Debug, Clone)]
struct Report {
    reporter: Reporter,
    at: Timestamp,
}

/// Observations of one engine by all nodes.
#[derive(Debug)]
pub(super) struct ReachRecord {
    pub(super) incarnation: Option<Incarnation>,
    reports: Vec<Report>,
    /// When a node last heard from the engine, as far as known.
    pub(super) heard_at: Option<Timestamp>,
    /// When this node last heard from the engine.
    pub(super) own_heard_at: Option<Timestamp>,
    /// When another node last heard from the engine, as it told.
    pub(super) told_heard_at: Option<Timestamp>,
    /// Since when the engine has been doubted.
    pub(super) doubted_since: Option<Timestamp>,
    /// Newest evidence that the caller knows of.
    pub(super) confirmed_by: Timestamp,
    /// When this node last queued its own failure for the others.
    pub(super) reported_at: Option<Timestamp>,
}

impl ReachRecord {
    pub(super) fn new(engine: &EngineView) -> Self {
        Self {
            incarnation: engine.incarnation,
            reports: Vec::new(),
            heard_at: engine.heard_at,
            own_heard_at: engine.heard_at,
            told_heard_at: None,
            doubted_since: None,
            confirmed_by: Timestamp::ZERO,
            reported_at: None,
        }
    }

    /// Adds a node's failure to reach the engine. Reporters beyond the maximum replace the oldest.
    pub(super) fn note_unreached(&mut self, reporter: &Reporter, at: Timestamp) {
        let id = reporter.id;
        if let Some(known) = self
            .reports
            .iter_mut()
            .find(|known| known.reporter.id == id)
        {
            known.at = known.at.max(at);
            return;
        }
        if self.reports.len() >= MAX_REPORTERS {
            let oldest = (0..self.reports.len()).min_by_key(|index| self.reports[*index].at);
            if let Some(oldest) = oldest {
                self.reports.swap_remove(oldest);
            }
        }
        let reporter = reporter.clone();
        self.reports.push(Report { reporter, at });
    }

    pub(super) fn note_heard(&mut self, at: Timestamp) {
        self.heard_at = self.heard_at.max(Some(at));
    }

    /// When the last attempt of the node `id` began that failed, if that node has not heard from the
    /// engine since.
    pub(super) fn own_failure(&self, id: u64) -> Option<Timestamp> {
        let mut reports = self.reports.iter();
        let report = reports.find(|report| report.reporter.id == id)?;
        (Some(report.at) > self.own_heard_at).then_some(report.at)
    }

    /// Drops what a node has reported.
    pub(super) fn forget_reporter(&mut self, id: u64) {
        self.reports.retain(|report| report.reporter.id != id);
    }

    /// Drops reports that are older than `lapse`.
    pub(super) fn expire(&mut self, lapse: Duration, now: Timestamp) {
        self.reports.retain(|report| now.since(report.at) < lapse);
    }

    pub(super) fn has_reports(&self) -> bool {
        !self.reports.is_empty()
    }

    /// When the attempt of a node began that failed to reach the engine, unless the engine was heard
    /// from since.
    pub(super) fn unanswered_report_of(&self, id: u64) -> Option<Timestamp> {
        let reports = self.unanswered_reports();
        let report = reports.iter().find(|report| report.reporter.id == id)?;
        Some(report.at)
    }

    /// The doubt that follows from the reports at a node that runs at `own`.
    pub(super) fn doubt(&self, own: &Site) -> Option<Doubt> {
        let reports = self.unanswered_reports();
        self.doubt_by(&reports, own)
    }

    /// Whether the reports would lead to a doubt if nobody had heard from the engine.
    pub(super) fn is_contested(&self, own: &Site) -> bool {
        let reports: Vec<_> = self.reports.iter().collect();
        self.doubt_by(&reports, own).is_some()
    }

    fn unanswered_reports(&self) -> Vec<&Report> {
        let reports = self.reports.iter();
        reports
            .filter(|report| Some(report.at) > self.heard_at)
            .collect()
    }

    fn doubt_by(&self, reports: &[&Report], own: &Site) -> Option<Doubt> {
        if reports.len() < MIN_REPORTERS {
            return None;
        }
        let sites = || reports.iter().map(|report| &report.reporter.site);
        let zones: BTreeSet<_> = sites().map(|site| &site.zone).collect();
        let regions: BTreeSet<_> = sites().map(|site| &site.region).collect();
        // Failures seen from a single place may be those of a link that this node does not use.
        let is_zone_telling = zones.len() > 1 || zones.contains(&own.zone);
        let is_region_telling = regions.len() > 1 || regions.contains(&own.region);
        if !is_zone_telling || !is_region_telling {
            return None;
        }
        Some(Doubt {
            reporters: reports.len(),
            zones: zones.len(),
            newest: reports.iter().map(|report| report.at).max()?,
        })
    }
}
