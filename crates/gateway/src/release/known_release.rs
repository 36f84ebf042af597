//! A release as one node knows it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::release::{
    Budget, Comparison, Counts, Evidence, Grant, Progress, Reporter, Rollback, Settings,
    SoftwareVersion, Stage,
};

use super::Origin;

/// A director that still gives grants so long after this node has stopped has seen the same answers and not
/// decided: news of them take less than a second.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// A release as one node knows it.
#[derive(Debug, Clone)]
pub struct KnownRelease {
    /// The newest grant.
    pub grant: Grant,
    /// When the director allowed it, at the latest.
    pub granted_at: Timestamp,
    /// When this node came to know its stage.
    pub stage_since: Timestamp,
    /// What this node has sent since it heard of the release.
    pub budget: Budget,
    /// What this node and the others have seen.
    pub evidence: Evidence,
    /// Other versions that get nothing: they were rolled back or withdrawn before, or were still under trial
    /// when this release was ordered.
    pub rejected: BTreeSet<SoftwareVersion>,
    /// Versions that the completed release has replaced.
    pub replaced: BTreeSet<SoftwareVersion>,
    /// Who the reporters of the ledger are.
    origins: BTreeMap<Reporter, Origin>,
    /// What the answers that this node knows of say.
    comparison: Comparison,
    /// Why this node sends nothing to the target version any more, before the director's verdict.
    stopped: Option<Rollback>,
    /// When this node stopped last.
    stopped_at: Timestamp,
}

impl KnownRelease {
    /// A release that was just heard of.
    pub fn new(grant: Grant, granted_at: Timestamp, now: Timestamp) -> Self {
        Self {
            grant,
            granted_at,
            stage_since: now,
            budget: Budget::default(),
            evidence: Evidence::default(),
            rejected: BTreeSet::new(),
            replaced: BTreeSet::new(),
            origins: BTreeMap::new(),
            comparison: Comparison::default(),
            stopped: None,
            stopped_at: now,
        }
    }

    /// Whether the grant still holds: a final one does for good, another one for as long as a node may go
    /// without hearing of the director.
    pub fn is_grant_valid(&self, lifetime: Duration, now: Timestamp) -> bool {
        self.grant.stage.is_final() || now.since(self.granted_at) < lifetime
    }

    /// Whether this node takes the target version to do worse, and the director has not decided.
    pub fn is_stopped(&self) -> bool {
        self.stopped.is_some() && !self.grant.stage.is_final()
    }

    /// The release as this node goes on to direct it.
    pub fn resume(&self, settings: Settings, now: Timestamp) -> Progress {
        let age = now.since(self.granted_at);
        let progress = Progress::resume(&self.grant, age, settings, now);
        progress.with_comparison(self.comparison.clone(), self.stopped.clone())
    }

    /// Whether nothing follows.
    pub fn is_final(&self) -> bool {
        self.grant.stage.is_final()
    }

    /// Whether the target version was taken out of use.
    pub fn is_rejected(&self) -> bool {
        matches!(self.grant.stage, Stage::RolledBack | Stage::Withdrawn)
    }

    /// Takes what a reporter has seen.
    pub fn merge_report(&mut self, reporter: Reporter, origin: Origin, counts: &Counts) {
        self.origins.insert(reporter, origin);
        self.evidence.merge_report(reporter, counts);
    }

    /// What all nodes have seen. With many nodes those of other zones count in the sums of their zones,
    /// and not by themselves.
    pub fn total(&self, is_large: bool) -> Counts {
        let counted = match is_large {
            true => [Origin::SameZone, Origin::ZoneTotal],
            false => [Origin::SameZone, Origin::OtherZone],
        };
        self.total_of(&counted)
    }

    /// What the nodes of this zone have seen, for the other zones.
    pub fn total_of_zone(&self) -> Counts {
        self.total_of(&[Origin::SameZone])
    }

    fn total_of(&self, counted: &[Origin]) -> Counts {
        let origin = |reporter| self.origins.get(&reporter);
        let is_counted = |reporter| origin(reporter).is_some_and(|origin| counted.contains(origin));
        self.evidence.total_of(is_counted)
    }

    /// Takes all answers so far; tells why this node stops sending to the target version, the moment
    /// that it does. It does not wait for the director, who may be lost. A node that has stopped goes on in
    /// the stage settling once the answers since have cleared the version: the present engines stop when
    /// the release is completed, and would break off what this node still sent there.
    pub fn observe(&mut self, total: &Counts, engines: usize, now: Timestamp) -> Option<&Rollback> {
        self.comparison.observe(total, self.grant.stage, now);
        if self.stopped.is_some() {
            let is_moving = self.grant.stage == Stage::Settling;
            if is_moving && self.comparison.allows_shift(engines) {
                self.stopped = None;
            }
            return None;
        }
        self.stopped = self.comparison.verdict(engines);
        self.stopped_at = now;
        self.stopped.as_ref()
    }

    /// Goes on with the trial when the director has had time to see the same answers and has not decided:
    /// news come to nodes in different portions, so scores differ. Were all nodes to stop for good, no
    /// further answers would come, and a version that fails late would be rolled back only after three ramps
    /// (measured in a soak of four nodes: after 24.0 s, with a ramp of 8 s).
    pub fn resume_trial(&mut self) -> bool {
        let grant_delay = self.granted_at.since(self.stopped_at);
        let is_due = self.grant.stage == Stage::Trial && grant_delay >= STOP_TIMEOUT;
        if self.stopped.is_none() || !is_due {
            return false;
        }
        self.stopped = None;
        self.comparison.reset_scores();
        true
    }
}
