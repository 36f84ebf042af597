//! A release as one node knows it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::release::{
    Budget, Comparison, Counts, Evidence, Grant, Progress, RejectedVersions, Reporter, Rollback,
    Settings, SoftwareVersion, Stage,
};

use super::Origin;

/// A node that has stopped sending requests to the target version resumes the trial when it has a grant that was issued
/// at least this long after the stop. By then the director has seen the same answers and has not decided against
/// the version: reports of answers reach it in less than a second.
const RESUME_DELAY: Duration = Duration::from_secs(2);

/// A release as one node knows it.
#[derive(Debug, Clone)]
pub struct KnownRelease {
    /// The newest grant.
    pub grant: Grant,
    /// Latest time at which the director can have issued the grant.
    pub granted_at: Timestamp,
    /// When this node learned of the current stage.
    pub stage_since: Timestamp,
    /// Budget for requests to the target version, charged since this node learned of the release.
    pub budget: Budget,
    /// Answers counted by this node and by others.
    pub evidence: Evidence,
    /// Other versions that get no requests: they were rolled back or withdrawn earlier, or were still under trial
    /// when this release was ordered.
    pub rejected: RejectedVersions,
    /// Versions that the completed release has replaced.
    pub replaced: BTreeSet<SoftwareVersion>,
    /// Origin of each reporter in the evidence.
    origins: BTreeMap<Reporter, Origin>,
    /// Comparison of the target version with the present ones, by the answers that this node knows of.
    comparison: Comparison,
    /// Why this node has stopped sending requests to the target version ahead of the director's verdict; `None` if it
    /// has not.
    stopped: Option<Rollback>,
    /// When this node last stopped sending requests to the target version.
    stopped_at: Timestamp,
}

impl KnownRelease {
    /// A release that this node has just learned of.
    pub fn new(grant: Grant, granted_at: Timestamp, now: Timestamp) -> Self {
        let rejected = grant.rejected.clone();
        Self {
            grant,
            granted_at,
            stage_since: now,
            budget: Budget::default(),
            evidence: Evidence::default(),
            rejected,
            replaced: BTreeSet::new(),
            origins: BTreeMap::new(),
            comparison: Comparison::default(),
            stopped: None,
            stopped_at: now,
        }
    }

    /// Whether the grant is still valid. A final grant does not expire; others are valid for `lifetime`, the maximum
    /// time that a node may continue without a new grant from the director.
    pub fn is_grant_valid(&self, lifetime: Duration, now: Timestamp) -> bool {
        self.grant.stage.is_final() || now.since(self.granted_at) < lifetime
    }

    /// Whether this node has stopped sending requests to the target version while the director has not decided.
    pub fn is_stopped(&self) -> bool {
        self.stopped.is_some() && !self.grant.stage.is_final()
    }

    /// The progress of the release with which this node takes over as its director.
    pub fn resume(&self, settings: Settings, now: Timestamp) -> Progress {
        let age = now.since(self.granted_at);
        let progress = Progress::resume(&self.grant, age, settings, now);
        progress.with_comparison(self.comparison.clone(), self.stopped.clone())
    }

    /// Whether the release has ended.
    pub fn is_final(&self) -> bool {
        self.grant.stage.is_final()
    }

    /// Whether the target version was taken out of use.
    pub fn is_rejected(&self) -> bool {
        matches!(self.grant.stage, Stage::RolledBack | Stage::Withdrawn)
    }

    /// Merges the counts received from a reporter.
    pub fn merge_report(&mut self, reporter: Reporter, origin: Origin, counts: &Counts) {
        self.origins.insert(reporter, origin);
        self.evidence.merge_report(reporter, counts);
    }

    /// Answers counted by all nodes. With many nodes (`is_large`), other zones contribute the total of the zone rather
    /// than the counts of each node.
    pub fn total(&self, is_large: bool) -> Counts {
        let counted = match is_large {
            true => [Origin::SameZone, Origin::ZoneTotal],
            false => [Origin::SameZone, Origin::OtherZone],
        };
        self.total_of(&counted)
    }

    /// Answers counted by the nodes of this zone, for reports to other zones.
    pub fn total_of_zone(&self) -> Counts {
        self.total_of(&[Origin::SameZone])
    }

    fn total_of(&self, counted: &[Origin]) -> Counts {
        let origin = |reporter| self.origins.get(&reporter);
        let is_counted = |reporter| origin(reporter).is_some_and(|origin| counted.contains(origin));
        self.evidence.total_of(is_counted)
    }

    /// Evaluates the answers counted so far. If they are bad, this node stops sending requests to the target version
    /// without waiting for the director, which may have failed; the reason is returned in the call that stops it. In
    /// the stage `Settling` a node that has stopped resumes once later answers allow the shift: the present engines
    /// stop when the release is completed, and requests that this node still sent to them would break off.
    pub fn observe(&mut self, total: &Counts, engines: usize, now: Timestamp) -> Option<&Rollback> {
        self.comparison.observe(total, self.grant.stage, now);
        if self.stopped.is_some() {
            let is_settling = self.grant.stage == Stage::Settling;
            if is_settling && self.comparison.allows_shift(engines) {
                self.stopped = None;
            }
            return None;
        }
        self.stopped = self.comparison.verdict(engines);
        self.stopped_at = now;
        self.stopped.as_ref()
    }

    /// Resumes the trial if the director has had time to see the same answers and has not decided; returns whether
    /// the trial was resumed. Scores differ between nodes because reports arrive in different batches. If all nodes
    /// stopped for good, no further answers would come, and a version that fails late would be rolled back only after
    /// three ramps (24.0 s with a ramp of 8 s, measured in a soak test of four nodes).
    pub fn resume_trial(&mut self) -> bool {
        let grant_delay = self.granted_at.since(self.stopped_at);
        let is_due = self.grant.stage == Stage::Trial && grant_delay >= RESUME_DELAY;
        if self.stopped.is_none() || !is_due {
            return false;
        }
        self.stopped = None;
        self.comparison.reset_scores();
        true
    }
}
