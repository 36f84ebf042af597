//! A simulated back end process, at the level of its protocol.

use std::collections::BTreeMap;

use super::ProcessId;

/// One prefix kept in the cache of a back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CachedPrefix {
    /// Tenant whose request computed it.
    pub tenant: String,
    /// Weights it was computed with.
    pub weights_version: u64,
}

/// An attempt that a back end runs, or ran within its resume window.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningAttempt {
    /// The submission it answers.
    pub submission: u64,
    /// Index of the next chunk to emit.
    pub next_chunk: u64,
    /// Chunks of the whole answer.
    pub chunks: u64,
    /// Process that reads it, if the connection stands.
    pub reader: Option<ProcessId>,
    /// Whether it was cancelled.
    pub cancelled: bool,
    /// Prompt tokens that came from the cache.
    pub cached_tokens: u32,
    /// Prompt tokens.
    pub prompt_tokens: u32,
}

/// Why a back end does not take an attempt; it certainly does not run then.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptRefusal {
    /// Another incarnation was asked for.
    IncarnationMismatch,
    /// Other weights were asked for.
    WeightsMismatch,
    /// It is draining.
    Draining,
    /// It is full.
    Overloaded,
}

/// A simulated back end process.
#[derive(Debug, Clone)]
pub struct BackEndProcess {
    /// Its name.
    pub name: String,
    /// Rises with each start.
    pub incarnation: u64,
    /// Weights it serves; 0 for plain services.
    pub weights_version: u64,
    /// Whether it runs.
    pub alive: bool,
    /// Whether it takes no new work by its own word.
    pub draining: bool,
    /// Whether it is frozen: it neither reads nor emits.
    pub frozen: bool,
    /// Most attempts at once.
    pub capacity: usize,
    /// Newest fencing number it has obeyed.
    pub fencing_number: u64,
    /// Attempts by number.
    pub attempts: BTreeMap<u128, RunningAttempt>,
    cache: BTreeMap<u64, CachedPrefix>,
}

impl BackEndProcess {
    /// A process that has just started.
    pub fn new(name: String, weights_version: u64, capacity: usize) -> Self {
        Self {
            name,
            incarnation: 1,
            weights_version,
            alive: true,
            draining: false,
            frozen: false,
            capacity,
            fencing_number: 0,
            attempts: BTreeMap::new(),
            cache: BTreeMap::new(),
        }
    }

    /// Ends the process at once; everything it held is lost.
    pub fn crash(&mut self) {
        self.alive = false;
        self.attempts.clear();
        self.cache.clear();
    }

    /// Starts the process again, empty.
    pub fn start(&mut self) {
        self.alive = true;
        self.draining = false;
        self.frozen = false;
        self.incarnation += 1;
        self.fencing_number = 0;
    }

    /// Loads other weights; what was cached with the old ones is dropped unless `keeps_cache`.
    pub fn load_weights(&mut self, weights_version: u64, keeps_cache: bool) {
        self.weights_version = weights_version;
        if !keeps_cache {
            self.cache.clear();
        }
    }

    /// Attempts that run now.
    pub fn running(&self) -> usize {
        self.attempts
            .values()
            .filter(|attempt| attempt.next_chunk < attempt.chunks && !attempt.cancelled)
            .count()
    }

    /// Whether it would take an attempt with these preconditions.
    pub fn check(
        &self,
        incarnation: Option<u64>,
        weights_version: Option<u64>,
    ) -> Result<(), AttemptRefusal> {
        if incarnation.is_some_and(|wanted| wanted != self.incarnation) {
            return Err(AttemptRefusal::IncarnationMismatch);
        }
        if weights_version.is_some_and(|wanted| wanted != self.weights_version) {
            return Err(AttemptRefusal::WeightsMismatch);
        }
        if self.draining {
            return Err(AttemptRefusal::Draining);
        }
        if self.running() >= self.capacity {
            return Err(AttemptRefusal::Overloaded);
        }
        Ok(())
    }

    /// Longest cached prefix of a chain of `(hash, end_tokens)`.
    pub fn longest_cached(&self, chain: &[(u64, u32)]) -> Option<(CachedPrefix, u32)> {
        chain
            .iter()
            .rev()
            .find_map(|(hash, tokens)| self.cache.get(hash).map(|entry| (entry.clone(), *tokens)))
    }

    /// Keeps all prefixes of a chain.
    pub fn keep(&mut self, chain: &[(u64, u32)], tenant: &str) {
        for (hash, _) in chain {
            let entry = CachedPrefix {
                tenant: tenant.to_owned(),
                weights_version: self.weights_version,
            };
            self.cache.entry(*hash).or_insert(entry);
        }
    }
}
