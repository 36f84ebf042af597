//! Decides which engines may take a request.

use std::collections::BTreeSet;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::{BackEndName, PoolName};
use ryerouter_core::release::{Settings, SoftwareVersion, Stage};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Admission, EngineFilter, KnownRelease, ListedVersions, Table};
use crate::engines::{Engine, EngineTable};

/// A node that was just started takes the version of the oldest engines for the present one until it
/// knows the orders, so long at most: by then a director has been found and has read them. A source that
/// does not answer for longer must not keep engines idle that replace others without an order.
const ORDERS_TIMEOUT: Duration = Duration::from_secs(10);
/// Draws of a request that decide other things are independent of the one that decides its version.
const DRAW_SEED: u64 = 0x7265_6c65_6173_6573;

/// Decides which engines of a pool may take a request, by the newest grant.
#[derive(Debug)]
pub struct AdmissionPolicy<'a> {
    /// How releases are bounded.
    pub settings: &'a Settings,
    /// What is known of releases.
    pub table: &'a Table,
    /// All engines.
    pub engines: &'a EngineTable,
    /// Nodes that there may be, with this one.
    pub nodes: usize,
    /// How long this process has been running.
    pub uptime: Duration,
    /// Now.
    pub now: Timestamp,
}

impl AdmissionPolicy<'_> {
    /// Where a request goes that was sent to these engines before.
    pub fn admission(&self, pool: &PoolName, id: &str, tried: &[BackEndName]) -> Admission {
        let versions = ListedVersions::of(self.engines, pool);
        match self.table.of(pool) {
            Some(known) => self.by_release(known, &versions, id, tried),
            None => self.without_release(&versions),
        }
    }

    /// Versions that get none or few of a pool's requests: only the engines of the others count as the
    /// pool's capacity.
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
            Stage::Shifting => known.rejected.clone(),
        }
    }

    /// Versions that requests of a pool may go to without a grant.
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
            EngineFilter::Any | EngineFilter::Only(_) => BTreeSet::new(),
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
                // There is nothing to compare the target version with, and no other engine.
                Admission::to(EngineFilter::except(known.rejected.clone()))
            }
            _ if self.may_go_to_target(known, id, tried) => {
                Admission::on_trial(self.target_engines(known), self.fallback(known, versions))
            }
            _ => Admission::to(self.present_engines(known, versions)),
        }
    }

    /// Whether a request goes to the target version of a release that has not come to its end.
    fn may_go_to_target(&self, known: &KnownRelease, id: &str, tried: &[BackEndName]) -> bool {
        let grant = &known.grant;
        let lifetime = self.settings.grant_lifetime();
        if known.is_stopped() || !known.is_grant_valid(lifetime, self.now) {
            return false;
        }
        let is_drawn = || draw_of(id) < grant.share && !self.has_tried_target(known, tried);
        match grant.stage {
            Stage::Trial => is_drawn() && known.budget.allows_request(self.settings, self.nodes),
            Stage::Shifting => is_drawn(),
            Stage::Settling => true,
            Stage::Completed | Stage::RolledBack | Stage::Withdrawn => false,
        }
    }

    /// A request that failed at the target version gets the present one: it must not fail twice for a
    /// version that is not known to be good.
    fn has_tried_target(&self, known: &KnownRelease, tried: &[BackEndName]) -> bool {
        let tried = tried.iter().filter_map(|name| self.engines.get(name));
        let mut versions = tried.map(|engine| &engine.entry.software);
        versions.any(|version| *version == known.grant.order.target)
    }

    /// The engines of the target version that the grant names.
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
            .filter(|(position, _)| window.is_none_or(|window| window.holds(*position, count)));
        let names = granted.map(|(_, engine)| engine.entry.name.clone());
        EngineFilter::Only(names.collect())
    }

    /// When no engine of the target version serves: in the trial the present version's; later any.
    fn fallback(&self, known: &KnownRelease, versions: &ListedVersions) -> EngineFilter {
        match known.grant.stage {
            Stage::Settling => EngineFilter::except(known.rejected.clone()),
            _ => self.present_engines(known, versions),
        }
    }

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

    /// Whether an engine of another version takes work by its own word.
    fn has_present_engines(&self, known: &KnownRelease) -> bool {
        let order = &known.grant.order;
        let of_pool = self.engines.of_pool(&order.pool);
        let ready = of_pool.filter(|engine| engine.is_staying());
        let mut versions = ready.map(|engine| &engine.entry.software);
        versions.any(|version| *version != order.target && !known.rejected.contains(version))
    }

    fn closed_versions(&self, known: &KnownRelease) -> BTreeSet<SoftwareVersion> {
        let mut closed = known.rejected.clone();
        closed.insert(known.grant.order.target.clone());
        closed
    }

    /// Engines of the versions before stop at once. Others that come later replace the target version's
    /// without an order.
    fn after_completion(&self, known: &KnownRelease, versions: &ListedVersions) -> Admission {
        let target = &known.grant.order.target;
        let mut of_pool = self.engines.of_pool(&known.grant.order.pool);
        let has_target =
            of_pool.any(|engine| engine.entry.software == *target && engine.is_staying());
        if !has_target {
            return self.without_release(versions);
        }
        let mut closed = versions.on_hold(self.now);
        closed.extend(known.replaced.iter().cloned());
        closed.remove(target);
        Admission::to(EngineFilter::except(closed))
    }

    /// No order is known for the pool.
    fn without_release(&self, versions: &ListedVersions) -> Admission {
        if versions.is_uniform() {
            return Admission::to(EngineFilter::Any);
        }
        let on_hold = versions.on_hold(self.now);
        let is_uninformed = !self.table.knows_orders && self.uptime < ORDERS_TIMEOUT;
        let closed = match versions.oldest() {
            Some(oldest) if is_uninformed || versions.iter().all(|each| on_hold.contains(each)) => {
                versions.all_except(oldest).cloned().collect()
            }
            _ => on_hold,
        };
        // No version is known to be bad, and a node always serves.
        match closed.is_empty() {
            true => Admission::to(EngineFilter::Any),
            false => Admission::with_fallback(EngineFilter::except(closed), EngineFilter::Any),
        }
    }
}

/// A number from 0 to 1 that is spread evenly over requests.
fn draw_of(request_id: &str) -> f64 {
    xxh3_64_with_seed(request_id.as_bytes(), DRAW_SEED) as f64 / u64::MAX as f64
}
