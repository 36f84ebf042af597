//! A fault.

use std::time::Duration;

use super::OutageKind;
use crate::standins::model_engine::EngineFaults;
use crate::standins::objects::ObjectApiFaults;

/// A fault and its time.
#[derive(Debug, Clone, PartialEq)]
pub struct TimedStep {
    /// When, from the start of the run.
    pub at: Duration,
    /// What happens.
    pub step: ChaosStep,
}

/// A fault, or the end of one.
#[derive(Debug, Clone, PartialEq)]
pub enum ChaosStep {
    /// A router node goes away and comes back.
    Router {
        /// Its number.
        router: usize,
        /// How it goes away.
        kind: OutageKind,
        /// How long after its end it is started again.
        down: Duration,
    },
    /// An engine dies; its cache and work are lost.
    CrashEngine(usize),
    /// A dead engine comes back.
    RestartEngine(usize),
    /// Engines misbehave from now on.
    Engines(EngineFaults),
    /// Of a thousand plain requests, how many run and are never answered from now on.
    LostServiceAnswers(u16),
    /// The object API misbehaves from now on.
    Objects(ObjectApiFaults),
    /// KV store and machine list answer, or do not, from now on.
    HintsDown(bool),
    /// An operator drains an engine.
    Drain(usize),
}
