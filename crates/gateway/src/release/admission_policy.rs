//! Decides which engines may take a request.

use std::collections::BTreeSet;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::{BackEndName, PoolName};
use ryerouter_core::release::{Settings, SoftwareVersion, Stage};

use super::{Admission, EngineFilter, KnownRelease, ListedVersions, Table};
use crate::engines::{Engine, EngineTable};
use crate::request::Draw;

/// A node that does not know the orders assumes for this long after its start that the oldest engines run the present
/// version, and sends requests to other versions only as a fallback. Within this time a director is normally
/// found and has read the orders. If the source does not answer for longer, engines that replace others without
/// an order must not stay idle.
const ORDERS_TIMEOUT: Duration = Duration::from_secs(10);

/// Decides which engines of a pool may take a request, according to the newest grant.
#[derive(Debug)]
pub struct AdmissionPolicy<'a> {
    /// Limits for releases.
    pub settings: &'a Settings,
    /// Known releases.
    pub table: &'a Table,
    /// All engines.
    pub engines: &'a EngineTable,
    /// Number of nodes that may be running, including this one.
    pub nodes: usize,
    /// How long this process has been running.
    pub uptime: Duration,
    /// Time of the decision.
    pub now: Timestamp,
}

impl AdmissionPolicy<'_> {
    /// Returns the engines that the request `id` may be sent to, after attempts on the engines `tried`.
    pub fn admission(&self, pool: &PoolName, id: &str, tried: &[BackEndName]) -> Admission {
        let versions = ListedVersions::of(self.engines, pool);
        match self.table.of(pool) {
            Some(known) => self.by_release(known, &versions, id, tried),
            None => self.without_release(&versions),
        }
    }

    /// Returns the engines that may go on with a stream which engines of `version` began. A version that was replaced
    /// goes on with its own streams; one that was rejected gets nothing more, and one under trial no more than its
    /// budget.
    pub fn admission_to_version(&self, pool: &PoolName, version: &SoftwareVersion) -> Admission {
        let of_version = Admission::to(EngineFilter::Version(version.clone()));
        let none = Admission::to(EngineFilter::Only(BTreeSet::new()));
        let Some(known) = self.table.of(pool) else {
            return of_version;
        };
        let is_target = known.grant.order.target == *version;
        match known.grant.stage {
            _ if known.rejected.contains(version) => none,
            Stage::RolledBack | Stage::Withdrawn if is_target => none,
            Stage::Trial | Stage::Shifting if is_target && !self.has_present_engines(known) => {
                of_version
            }
            Stage::Trial | Stage::Shifting if is_target && !self.is_target_open(known) => none,
            Stage::Trial if is_target => Admission::to(self.target_engines(known)),
            _ => of_version,
        }
    }

    /// Whether engines of the target version get any requests now.
    fn is_target_open(&self, known: &KnownRelease) -> bool {
        let lifetime = self.settings.grant_lifetime();
        let is_granted = !known.is_stopped() && known.is_grant_valid(lifetime, self.now);
        let is_trial = known.grant.stage == Stage::Trial;
        is_granted && (!is_trial || known.budget.allows_request(self.settings, self.nodes))
    }

    /// Versions that get few or none of a pool's requests. Their engines do not count towards the capacity of the
    /// pool.
    pub fn idle_versions(&self, pool: &PoolName) -> BTreeSet<SoftwareVersion> {
        let versions = ListedVersions::of(self.engines, pool);
        let Some(known) = self.table.of(pool) else {
            return BTreeSet::new();
        };
        match known.grant.stage {
            Stage::Trial | Stage::RolledBack | Stage::Withdrawn => self.closed_versions(known),
            Stage::Settling | Stage::Completed => {
                let target = &known.grant.order.target;
                versions.all_except(target).cloned().collect()
            }
            Stage::Shifting => known.rejected.to_set(),
        }
    }

    /// Versions that requests of a pool may be sent to without a valid grant.
    pub fn open_versions(&self, pool: &PoolName) -> BTreeSet<SoftwareVersion> {
        let versions = ListedVersions::of(self.engines, pool);
        let known = self.table.of(pool);
        let filter = match known {
            Some(known) if !known.is_final() => self.present_engines(known, &versions),
            Some(known) => self.by_release(known, &versions, "", &[]).first,
            None => self.without_release(&versions).first,
        };
        let closed = match filter {
            EngineFilter::Except(closed) => closed,
            EngineFilter::Any | EngineFilter::Only(_) | EngineFilter::Version(_) => BTreeSet::new(),
        };
        let open = versions.iter().filter(|version| !closed.contains(*version));
        open.cloned().collect()
    }

    fn by_release(
        &self,
        known: &KnownRelease,
        versions: &ListedVersions,
        id: &str,
        tried: &[BackEndName],
    ) -> Admission {
        match known.grant.stage {
            Stage::RolledBack | Stage::Withdrawn => {
                Admission::to(self.present_engines(known, versions))
            }
            Stage::Completed => self.after_completion(known, versions),
            _ if !self.has_present_engines(known) && !known.is_stopped() => {
                // There is no other engine, and thus nothing to compare the target version with.
                Admission::to(EngineFilter::except(known.rejected.to_set()))
            }
            _ if self.may_go_to_target(known, id, tried) => {
                Admission::on_trial(self.target_engines(known), self.fallback(known, versions))
            }
            _ => Admission::to(self.present_engines(known, versions)),
        }
    }

    /// Whether a request goes to the target version of a release that has not ended.
    fn may_go_to_target(&self, known: &KnownRelease, id: &str, tried: &[BackEndName]) -> bool {
        let grant = &known.grant;
        let lifetime = self.settings.grant_lifetime();
        if known.is_stopped() || !known.is_grant_valid(lifetime, self.now) {
            return false;
        }
        let is_drawn =
            || Draw::Release.of(id) < grant.share && !self.has_tried_target(known, tried);
        match grant.stage {
            Stage::Trial => is_drawn() && known.budget.allows_request(self.settings, self.nodes),
            Stage::Shifting => is_drawn(),
            Stage::Settling => true,
            Stage::Completed | Stage::RolledBack | Stage::Withdrawn => false,
        }
    }

    /// Whether an attempt was made on an engine of the target version. Such a request is retried on the present
    /// version: it must not fail twice because of a version that is not known to be good.
    fn has_tried_target(&self, known: &KnownRelease, tried: &[BackEndName]) -> bool {
        let tried = tried.iter().filter_map(|name| self.engines.get(name));
        let mut versions = tried.map(|engine| &engine.entry.software);
        versions.any(|version| *version == known.grant.order.target)
    }

    /// The engines of the target version that the grant allows.
    fn target_engines(&self, known: &KnownRelease) -> EngineFilter {
        let order = &known.grant.order;
        let of_pool = self.engines.of_pool(&order.pool);
        let of_target = of_pool.filter(|engine| engine.entry.software == order.target);
        let mut engines: Vec<&Engine> = of_target.collect();
        let count = engines.len();
        let window = known.grant.window;
        let window = window.filter(|_| known.grant.stage == Stage::Trial);
        engines.sort_unstable_by_key(|engine| engine.name_hash);
        let positions = engines.into_iter().enumerate();
        let granted = positions
            .filter(|(position, _)| window.is_none_or(|window| window.contains(*position, count)));
        let names = granted.map(|(_, engine)| engine.entry.name.clone());
        EngineFilter::Only(names.collect())
    }

    /// The engines to use if no engine of the target version is available: in the stage `Settling` those of all
    /// versions that are not rejected, in earlier stages those of the present versions.
    fn fallback(&self, known: &KnownRelease, versions: &ListedVersions) -> EngineFilter {
        match known.grant.stage {
            Stage::Settling => EngineFilter::except(known.rejected.to_set()),
            _ => self.present_engines(known, versions),
        }
    }

    /// The engines of the present versions. Versions on hold are left out, unless there are no others.
    fn present_engines(&self, known: &KnownRelease, versions: &ListedVersions) -> EngineFilter {
        let closed = self.closed_versions(known);
        let is_any_open = |closed: &BTreeSet<SoftwareVersion>| {
            versions.iter().any(|version| !closed.contains(version))
        };
        let mut with_on_hold = closed.clone();
        with_on_hold.extend(versions.on_hold(self.now));
        match is_any_open(&with_on_hold) {
            true => EngineFilter::except(with_on_hold),
            false => EngineFilter::except(closed),
        }
    }

    /// Whether any engine of a present version is not shutting down, as far as the engines themselves report.
    fn has_present_engines(&self, known: &KnownRelease) -> bool {
        let order = &known.grant.order;
        let of_pool = self.engines.of_pool(&order.pool);
        let ready = of_pool.filter(|engine| engine.is_in_service());
        let mut versions = ready.map(|engine| &engine.entry.software);
        versions.any(|version| *version != order.target && !known.rejected.contains(version))
    }

    /// The target version and the rejected versions.
    fn closed_versions(&self, known: &KnownRelease) -> BTreeSet<SoftwareVersion> {
        let mut closed = known.rejected.to_set();
        closed.insert(known.grant.order.target.clone());
        closed
    }

    /// Admission after a release is completed. Engines of the replaced versions get no more requests, and neither do those
    /// of versions that were rejected before. Engines of other versions that appear later get requests without an order.
    fn after_completion(&self, known: &KnownRelease, versions: &ListedVersions) -> Admission {
        let target = &known.grant.order.target;
        let mut of_pool = self.engines.of_pool(&known.grant.order.pool);
        let has_target =
            of_pool.any(|engine| engine.entry.software == *target && engine.is_in_service());
        if !has_target {
            return self.without_release(versions);
        }
        let mut closed = versions.on_hold(self.now);
        closed.extend(known.replaced.iter().cloned());
        closed.extend(known.rejected.iter().cloned());
        closed.remove(target);
        Admission::to(EngineFilter::except(closed))
    }

    /// Admission to a pool for which no order is known.
    fn without_release(&self, versions: &ListedVersions) -> Admission {
        if versions.is_uniform() {
            return Admission::to(EngineFilter::Any);
        }
        let on_hold = versions.on_hold(self.now);
        let may_lack_orders = !self.table.knows_orders && self.uptime < ORDERS_TIMEOUT;
        let closed = match versions.oldest() {
            Some(oldest)
                if may_lack_orders || versions.iter().all(|each| on_hold.contains(each)) =>
            {
                versions.all_except(oldest).cloned().collect()
            }
            _ => on_hold,
        };
        // No version is known to be bad, so the closed ones serve as a fallback: a request must not fail for
        // lack of an order.
        match closed.is_empty() {
            true => Admission::to(EngineFilter::Any),
            false => Admission::with_fallback(EngineFilter::except(closed), EngineFilter::Any),
        }
    }
}
