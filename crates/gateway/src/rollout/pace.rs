//! How many engines of a pool load at once, and when.

use std::time::Duration;

use ryerouter_core::Timestamp;

use super::RolloutSettings;

/// Weight of a new measurement of how long a load takes.
const NEW_LOAD_WEIGHT: f64 = 0.3;

/// How far the engines of a pool are on their way to the newest weights.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Progress {
    /// Engines of the pool.
    pub(super) members: usize,
    /// Those that could be ordered to load now.
    pub(super) behind: usize,
    /// Those that have the newest weights or are on their way to them.
    pub(super) current: usize,
    /// Those with an order in progress that may still be carried out, for whatever version.
    pub(super) in_progress: usize,
    /// Whether requests run in the pool.
    pub(super) is_used: bool,
    /// Loads that work on replaced weights has paid for.
    pub(super) paid: usize,
    /// When the engines with the oldest weights must have loaded.
    pub(super) first_deadline: Option<Timestamp>,
}

/// Decides how many engines of a pool load at once, and when; see docs/design/decisions.md.
#[derive(Debug)]
pub(super) struct Pace {
    settings: RolloutSettings,
    load_time: Duration,
}

impl Pace {
    pub(super) fn new(settings: RolloutSettings) -> Self {
        Self {
            load_time: settings.usual_load,
            settings,
        }
    }

    /// How long a load takes, as measured lately.
    pub(super) fn load_time(&self) -> Duration {
        self.load_time
    }

    /// A load took this long.
    pub(super) fn note_load(&mut self, measured: Duration) {
        let measured = measured.as_secs_f64();
        let known = self.load_time.as_secs_f64();
        let load_time = known + (measured - known) * NEW_LOAD_WEIGHT;
        self.load_time = Duration::from_secs_f64(load_time);
    }

    /// How many more engines may begin now.
    pub(super) fn to_begin(&self, progress: &Progress, now: Timestamp) -> usize {
        let is_due = self.is_due(progress, now);
        let most = match is_due {
            true => self.most_at_once(progress, now),
            false => self.usual_at_once(progress.members),
        };
        let free = most.saturating_sub(progress.in_progress);
        match is_due {
            true => free,
            false => free.min(self.early(progress)),
        }
    }

    /// Engines that load before they must. The first ones take over the requests that would begin on
    /// replaced weights; more follow only as far as such requests are still seen, because each load
    /// empties a cache, and a newer version may be named before the others must load.
    fn early(&self, progress: &Progress) -> usize {
        if !progress.is_used {
            return 0;
        }
        let first = self.usual_at_once(progress.members);
        first.saturating_sub(progress.current).max(progress.paid)
    }

    /// Whether the engines behind must be brought up from now on to be ready in time.
    pub(super) fn is_due(&self, progress: &Progress, now: Timestamp) -> bool {
        let Some(deadline) = progress.first_deadline else {
            return true;
        };
        let rounds = progress
            .behind
            .div_ceil(self.usual_at_once(progress.members)) as u32;
        let needed = self.load_time * rounds + self.settings.spare_time;
        now.after(needed) >= deadline
    }

    /// How many engines of a pool usually load at once.
    pub(super) fn usual_at_once(&self, members: usize) -> usize {
        let share = self.settings.share_at_once * members as f64;
        (share.ceil() as usize).max(1)
    }

    /// The usual share, or as many as it takes to bring those behind up in time.
    fn most_at_once(&self, progress: &Progress, now: Timestamp) -> usize {
        let usual = self.usual_at_once(progress.members);
        let most = self.settings.most_share_at_once * progress.members as f64;
        let most = (most.ceil() as usize).max(usual);
        let Some(deadline) = progress.first_deadline else {
            return usual;
        };
        let rounds = deadline.since(now).as_secs_f64() / self.load_time.as_secs_f64().max(0.01);
        let needed = (progress.behind as f64 / rounds.floor().max(1.0)).ceil() as usize;
        needed.clamp(usual, most)
    }
}
