//! What operators, engines and machines do in a run at scale.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use ryerouter_core::catalog::BackEndState;
use ryerouter_core::config::{Change, Expectation, Mutation, Resource};
use ryerouter_core::identity::ChangeId;

use super::layout::{TENANTS, engine, tenant};

/// What operators, engines and machines do.
#[derive(Debug, Clone, Copy)]
pub enum LoadEvent {
    /// An operator changes something, and the next change is due some time later.
    Change,
    /// An operator's tool makes many changes.
    Burst,
    /// One change of a burst.
    BurstChange,
    /// An engine says that it leaves, and the next one some time later.
    EngineLeaves,
    /// Engines of a rack say together that they leave.
    RackLeaves,
    /// An engine that left is back as a new process.
    EngineReturns {
        /// The engine.
        engine: usize,
        /// Its new process.
        incarnation: u64,
    },
    /// A node is stopped as planned and replaced.
    NodeRestarts,
    /// A node fails and is replaced.
    NodeFails,
}

/// Changes of configuration a day.
const CHANGES_PER_DAY: f64 = 5_100.0;
/// Planned restarts a day, all taken as nodes.
const RESTARTS_PER_DAY: f64 = 620.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
/// Failures come far more often than 47 a day over all machines, so that each run has some.
const SECONDS_BETWEEN_FAILURES: f64 = 200.0;
/// Engines leave more often than planned restarts have them, for the same reason.
const SECONDS_BETWEEN_DRAINS: f64 = 20.0;
/// Time between bursts of changes.
pub const BURST_EVERY: Duration = Duration::from_secs(300);
/// Changes in a burst.
pub const BURST_CHANGES: usize = 50;
/// Time over which a burst is spread.
pub const BURST_LASTS: Duration = Duration::from_secs(5);
/// Engines of a rack.
pub const RACK_ENGINES: usize = 40;
/// Time until an engine that left is back.
pub const ENGINE_AWAY: Duration = Duration::from_secs(90);
/// Time until a stopped node is replaced.
pub const RESTART_AWAY: Duration = Duration::from_secs(10);
/// Time until a failed node is replaced.
pub const FAILURE_AWAY: Duration = Duration::from_secs(60);

/// Time until the next such event, or `None` when it does not repeat by itself.
pub fn time_to_next(event: LoadEvent, random: &mut ChaCha8Rng) -> Option<Duration> {
    let mean_seconds = match event {
        LoadEvent::Change => SECONDS_PER_DAY / CHANGES_PER_DAY,
        LoadEvent::EngineLeaves => SECONDS_BETWEEN_DRAINS,
        LoadEvent::NodeRestarts => SECONDS_PER_DAY / RESTARTS_PER_DAY,
        LoadEvent::NodeFails => SECONDS_BETWEEN_FAILURES,
        LoadEvent::Burst => return Some(BURST_EVERY),
        _ => return None,
    };
    let draw: f64 = random.random_range(f64::EPSILON..1.0);
    Some(Duration::from_secs_f64(-mean_seconds * draw.ln()))
}

/// The `number`th change of a run: a tenant's weight or an engine's state.
pub fn nth_change(number: u64, engines: usize, random: &mut ChaCha8Rng) -> Change {
    let resource = if number.is_multiple_of(3) {
        let state = if number.is_multiple_of(2) {
            BackEndState::Draining
        } else {
            BackEndState::Active
        };
        Resource::BackEnd(engine(random.random_range(0..engines), state))
    } else {
        let weight = random.random_range(1..100);
        Resource::Tenant(tenant(random.random_range(0..TENANTS), weight))
    };
    Change {
        change_id: ChangeId::new(format!("change-{number:08}")),
        author: "operator@example.org".to_owned(),
        mutations: vec![Mutation::Put {
            resource,
            expected: Expectation::Any,
        }],
    }
}
