//! Health of one engine.

use std::fmt;
use std::time::Duration;

use statig::prelude::*;

use super::health_event::HealthEvent;
use crate::timestamp::Timestamp;

/// Consecutive failures that eject an engine.
const FAILURES_TO_EJECT: u32 = 2;
const FIRST_EJECTION: Duration = Duration::from_millis(250);
const MAX_EJECTION: Duration = Duration::from_secs(10);
/// A probe without a result after this time is followed by another. It is longer than connecting may
/// take.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of times the first ejection is doubled before the maximum is reached.
const MAX_DOUBLINGS: u32 = 6;

/// The lifecycle of an engine as one process sees it: serving, ejected after failures, probed with
/// a single request once the ejection has expired, and serving again after a response.
#[derive(Debug)]
struct Lifecycle {
    failures_in_a_row: u32,
    ejections_in_a_row: u32,
    /// When the first of these ejections began.
    ejected_since: Option<Timestamp>,
    /// Whether a head was followed by bytes that are no response, so that a head alone tells nothing.
    is_malformed: bool,
    /// Whether the engine is ejected although no attempt of this process has failed.
    is_ejected_by_others: bool,
    max_ejection: Duration,
}

#[state_machine(initial = "State::serving()", state(derive(Debug, Clone, PartialEq)))]
impl Lifecycle {
    fn count_failure(&mut self, at: Timestamp) -> Outcome<State> {
        self.failures_in_a_row += 1;
        if self.failures_in_a_row < FAILURES_TO_EJECT {
            return Handled;
        }
        self.eject(at)
    }

    #[state]
    fn serving(&mut self, event: &HealthEvent) -> Outcome<State> {
        match event {
            HealthEvent::Failed { at } => self.count_failure(*at),
            HealthEvent::Malformed { at } => {
                self.is_malformed = true;
                self.count_failure(*at)
            }
            // Nothing listens at the address, so a second attempt would fail as well.
            HealthEvent::Unreachable { at } => self.eject(*at),
            HealthEvent::Doubted { at, probe_at } => {
                self.ejected_since.get_or_insert(*at);
                self.is_ejected_by_others = true;
                Transition(State::ejected(*probe_at))
            }
            HealthEvent::Answered | HealthEvent::Restarted => self.recover(),
            HealthEvent::HeadReceived
            | HealthEvent::ProbeSent { .. }
            | HealthEvent::ProbeInconclusive { .. }
            | HealthEvent::Trusted { .. } => Handled,
        }
    }

    #[state]
    fn ejected(&mut self, until: &mut Timestamp, event: &HealthEvent) -> Outcome<State> {
        match event {
            HealthEvent::ProbeSent { at } => Transition(State::probing(at.after(PROBE_TIMEOUT))),
            HealthEvent::Doubted { probe_at, .. } => {
                *until = (*until).max(*probe_at);
                Handled
            }
            HealthEvent::Trusted { .. } if self.is_ejected_by_others => self.recover(),
            HealthEvent::Trusted { at } => {
                *until = (*until).min(*at);
                Handled
            }
            HealthEvent::Answered | HealthEvent::Restarted => self.recover(),
            HealthEvent::HeadReceived if !self.is_malformed => self.recover(),
            HealthEvent::Malformed { .. } => {
                self.is_malformed = true;
                Handled
            }
            // Attempts from before the ejection fail one by one; they carry no new information.
            HealthEvent::HeadReceived
            | HealthEvent::Failed { .. }
            | HealthEvent::Unreachable { .. }
            | HealthEvent::ProbeInconclusive { .. } => Handled,
        }
    }

    #[state]
    fn probing(&mut self, until: &mut Timestamp, event: &HealthEvent) -> Outcome<State> {
        match event {
            HealthEvent::Failed { at } | HealthEvent::Unreachable { at } => self.eject(*at),
            HealthEvent::Malformed { at } => {
                self.is_malformed = true;
                self.eject(*at)
            }
            HealthEvent::ProbeInconclusive { at } => Transition(State::ejected(*at)),
            HealthEvent::Answered | HealthEvent::Restarted => self.recover(),
            HealthEvent::HeadReceived if !self.is_malformed => self.recover(),
            HealthEvent::HeadReceived => Handled,
            HealthEvent::ProbeSent { at } => {
                *until = at.after(PROBE_TIMEOUT);
                Handled
            }
            // The probe tells more than what others know.
            HealthEvent::Doubted { .. } => Handled,
            HealthEvent::Trusted { .. } if self.is_ejected_by_others => self.recover(),
            HealthEvent::Trusted { .. } => Handled,
        }
    }
}

impl Lifecycle {
    fn eject(&mut self, at: Timestamp) -> Outcome<State> {
        let doublings = self.ejections_in_a_row.min(MAX_DOUBLINGS);
        let ejection = (FIRST_EJECTION * 2_u32.pow(doublings)).min(self.max_ejection);
        self.ejections_in_a_row += 1;
        self.failures_in_a_row = 0;
        self.is_ejected_by_others = false;
        self.ejected_since.get_or_insert(at);
        Transition(State::ejected(at.after(ejection)))
    }

    fn recover(&mut self) -> Outcome<State> {
        self.failures_in_a_row = 0;
        self.ejections_in_a_row = 0;
        self.ejected_since = None;
        self.is_malformed = false;
        self.is_ejected_by_others = false;
        Transition(State::serving())
    }
}

/// Whether an engine is given work, as one process sees it.
pub struct EngineHealth {
    lifecycle: StateMachine<Lifecycle>,
}

impl fmt::Debug for EngineHealth {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_tuple("EngineHealth")
            .field(self.lifecycle.state())
            .finish()
    }
}

impl Default for EngineHealth {
    fn default() -> Self {
        Self::with_max_ejection(MAX_EJECTION)
    }
}

impl EngineHealth {
    /// Health of an engine that is ejected for at most `max_ejection` at a time.
    pub fn with_max_ejection(max_ejection: Duration) -> Self {
        let lifecycle = Lifecycle {
            failures_in_a_row: 0,
            ejections_in_a_row: 0,
            ejected_since: None,
            is_malformed: false,
            is_ejected_by_others: false,
            max_ejection,
        };
        Self {
            lifecycle: lifecycle.state_machine(),
        }
    }

    /// Whether the engine serves normally.
    pub fn is_serving(&self) -> bool {
        matches!(self.lifecycle.state(), State::Serving {})
    }

    /// Whether the ejection has expired, so that a single request should probe the engine. This is
    /// so again when a probe has had no result for long.
    pub fn is_due_for_probe(&self, now: Timestamp) -> bool {
        match self.lifecycle.state() {
            State::Ejected { until } | State::Probing { until } => *until <= now,
            State::Serving {} => false,
        }
    }

    /// When the ejection expires; `None` while the engine is not ejected.
    pub fn ejected_until(&self) -> Option<Timestamp> {
        match self.lifecycle.state() {
            State::Ejected { until } => Some(*until),
            State::Serving {} | State::Probing { .. } => None,
        }
    }

    /// When the engine was ejected; repeated ejections without a response in between count as one.
    /// `None` while the engine serves.
    pub fn ejected_since(&self) -> Option<Timestamp> {
        self.lifecycle.ejected_since
    }

    /// Records a response of the engine.
    pub fn answered(&mut self) {
        self.lifecycle.handle(&HealthEvent::Answered);
    }

    /// Records the head of a response. An ejected engine serves again, unless its heads were followed by no response.
    pub fn head_received(&mut self) {
        self.lifecycle.handle(&HealthEvent::HeadReceived);
    }

    /// Records that the engine could not be reached.
    pub fn unreachable(&mut self, at: Timestamp) {
        self.lifecycle.handle(&HealthEvent::Unreachable { at });
    }

    /// Records that the engine closed the connection early or sent no response.
    pub fn failed(&mut self, at: Timestamp) {
        self.lifecycle.handle(&HealthEvent::Failed { at });
    }

    /// Records that the engine sent a head, and then bytes that are no response. Until a response has come, heads are
    /// no sign of health.
    pub fn malformed(&mut self, at: Timestamp) {
        self.lifecycle.handle(&HealthEvent::Malformed { at });
    }

    /// Records that a request was sent as a probe.
    pub fn probe_sent(&mut self, at: Timestamp) {
        self.lifecycle.handle(&HealthEvent::ProbeSent { at });
    }

    /// Records that the probe ended without a result, for example because its caller disconnected.
    pub fn probe_inconclusive(&mut self, at: Timestamp) {
        self.lifecycle
            .handle(&HealthEvent::ProbeInconclusive { at });
    }

    /// Records that other nodes could not reach the engine, so that it is ejected and a request may
    /// probe it from `probe_at` on.
    pub fn doubted(&mut self, at: Timestamp, probe_at: Timestamp) {
        self.lifecycle
            .handle(&HealthEvent::Doubted { at, probe_at });
    }

    /// Records that the engine is no longer doubted for what other nodes told. It serves again unless
    /// attempts of this process failed as well; then a request may probe it at once.
    pub fn trusted(&mut self, at: Timestamp) {
        self.lifecycle.handle(&HealthEvent::Trusted { at });
    }

    /// Records that another process answered at the engine's address.
    pub fn restarted(&mut self) {
        self.lifecycle.handle(&HealthEvent::Restarted);
    }
}
