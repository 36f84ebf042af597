//! Which engines are asked next.

use std::collections::BTreeMap;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::PoolName;

use super::{
    Engine, EngineTable, OpenOrder, OrderStep, Progress, RolloutAction, RolloutPlanner,
    WeightsDeadlines,
};

/// Engines of a pool of the usual size that are probed at once.
const MIN_PROBES: usize = 16;
/// Engines of a large pool for each one that is probed at once.
const ENGINES_PER_PROBE: usize = 100;
/// A load that takes longer must have failed.
const MAX_LOAD: Duration = Duration::from_secs(60);

impl RolloutPlanner {
    pub(super) fn open_due(
        &mut self,
        model: &str,
        version: u64,
        engines: &EngineTable,
        deadlines: &WeightsDeadlines,
        now: Timestamp,
        actions: &mut Vec<RolloutAction>,
    ) {
        for (pool, members) in members_by_pool(engines, model) {
            let load_deadline = |engine: &&Engine| {
                let weights = engine.weights_of(model).unwrap_or_default();
                deadlines.load_deadline(model, weights)
            };
            let due = members.iter().copied();
            let due = due.filter(|engine| self.is_due(engine, model, version));
            let (suspects, mut behind): (Vec<_>, Vec<_>) =
                due.partition(|engine| self.reach.is_suspect(engine));
            let progress = Progress {
                behind: behind.len(),
                first_deadline: behind.iter().filter_map(load_deadline).min(),
                ..self.progress(pool, &members, model, version, now)
            };
            let to_begin = self.pace.to_begin(&progress, now);
            let is_early = !self.pace.is_due(&progress, now);
            self.stale_work.spend(pool, to_begin.min(behind.len()));
            let with_suspects = Progress {
                behind: behind.len() + suspects.len(),
                first_deadline: suspects.iter().filter_map(load_deadline).min(),
                ..progress
            };
            let to_probe = match self.pace.is_due(&with_suspects, now) {
                true => self.free_probes(pool, members.len()),
                false => 0,
            };
            let to_probe = self.first_suspects(suspects, to_probe);
            // The oldest weights run out first; among equals the least busy engine goes first.
            behind.sort_by_cached_key(|engine| {
                let weights = engine.weights_of(model).unwrap_or_default();
                let until = deadlines.until(model, weights);
                (until, engine.load().requests, &engine.entry.name)
            });
            let opened = behind.into_iter().take(to_begin);
            let opened = opened.map(|engine| (engine, OrderStep::Asking));
            let probed = to_probe.into_iter();
            let probed = probed.map(|engine| (engine, OrderStep::Probing));
            for (engine, step) in opened.chain(probed) {
                let order = OpenOrder {
                    step,
                    is_early,
                    ..OpenOrder::new(engine, model, version, now)
                };
                self.open.insert(engine.entry.name.clone(), order);
                actions.push(RolloutAction::Ask(engine.entry.name.clone()));
            }
        }
    }

    /// The suspects to probe next: those that were silent to the fewest questions. They are not
    /// sorted, because in a large pool thousands may wait for a few probes at a time.
    fn first_suspects<'a>(&self, mut suspects: Vec<&'a Engine>, count: usize) -> Vec<&'a Engine> {
        if count == 0 {
            return Vec::new();
        }
        if suspects.len() > count {
            suspects.select_nth_unstable_by_key(count, |engine| {
                (self.reach.silences(&engine.entry.name), engine.name_hash)
            });
            suspects.truncate(count);
        }
        suspects
    }

    /// How many more engines of a pool may be probed now.
    fn free_probes(&self, pool: &PoolName, members: usize) -> usize {
        let most = (members / ENGINES_PER_PROBE).max(MIN_PROBES);
        let is_probe = |open: &&OpenOrder| open.pool == *pool && open.step == OrderStep::Probing;
        most.saturating_sub(self.open.values().filter(is_probe).count())
    }

    /// How far a pool is, but for those that could be ordered now.
    fn progress(
        &self,
        pool: &PoolName,
        members: &[&Engine],
        model: &str,
        version: u64,
        now: Timestamp,
    ) -> Progress {
        let is_current = |engine: &&&Engine| {
            let open = self.open.get(&engine.entry.name);
            let open = open.filter(|open| open.step != OrderStep::Probing);
            let is_coming = open.is_some_and(|open| open.model == model && open.version >= version);
            is_coming || engine.weights_of(model) >= Some(version)
        };
        Progress {
            members: members.len(),
            behind: 0,
            current: members.iter().filter(is_current).count(),
            in_progress: self.in_progress(pool, members.len(), now),
            is_used: members.iter().any(|engine| engine.load().requests > 0),
            paid: self.stale_work.paid(pool),
            first_deadline: None,
        }
    }

    /// Number of places of a pool that are taken.
    ///
    /// An order that is open for long will hardly be carried out: the engine can't read the weights, or
    /// is stuck while it loads them. It takes no place then, unless the engine reports that it loads:
    /// all loads may be slow, so only as many more as usual may begin beside such engines.
    fn in_progress(&self, pool: &PoolName, members: usize, now: Timestamp) -> usize {
        let usual = self.settings.expected_load.max(self.pace.load_time());
        let (mut in_time, mut slow) = (0, 0);
        let open = self.open.values();
        for open in open.filter(|open| open.pool == *pool && open.takes_place()) {
            let age = now.since(open.opened_at);
            in_time += usize::from(age < usual * 2);
            slow += usize::from(age >= usual * 2 && age < MAX_LOAD && open.is_busy);
        }
        in_time + slow.saturating_sub(self.pace.usual_at_once(members))
    }

    fn is_due(&self, engine: &Engine, model: &str, version: u64) -> bool {
        let name = &engine.entry.name;
        let is_behind = engine.weights_of(model).is_some_and(|has| has < version);
        let is_in_service = engine.is_in_service() && !engine.is_unlisted;
        let is_free = !self.open.contains_key(name) && !self.resting.contains_key(name);
        is_behind && is_in_service && is_free
    }
}

/// The engines that have weights of a model.
fn members_by_pool<'a>(
    engines: &'a EngineTable,
    model: &str,
) -> BTreeMap<&'a PoolName, Vec<&'a Engine>> {
    let mut by_pool: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for engine in engines.iter() {
        if engine.weights_of(model).is_some() {
            by_pool.entry(&engine.entry.pool).or_default().push(engine);
        }
    }
    by_pool
}
