//! Lifecycle of a router process.

use statig::prelude::*;

use super::{LifecycleEvent, NodePhase};

/// Lifecycle of a router process: starting, serving, draining, stopped.
#[derive(Debug, Default)]
pub struct NodeLifecycle;

#[state_machine(
    initial = "State::starting()",
    state(derive(Debug, Clone, PartialEq, Eq)),
    superstate(derive(Debug))
)]
impl NodeLifecycle {
    #[state(superstate = "running")]
    fn starting(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::ConfigurationKnown => Transition(State::serving()),
            _ => Super,
        }
    }

    #[state(superstate = "running")]
    fn serving() -> Outcome<State> {
        Super
    }

    #[superstate]
    fn running(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::StopRequested => Transition(State::draining()),
            _ => Handled,
        }
    }

    #[state]
    fn draining(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::TrafficEnded => Transition(State::stopped()),
            _ => Handled,
        }
    }

    #[state]
    fn stopped() -> Outcome<State> {
        Handled
    }
}

impl From<&State> for NodePhase {
    fn from(state: &State) -> Self {
        match state {
            State::Starting {} => Self::Starting,
            State::Serving {} => Self::Serving,
            State::Draining {} => Self::Draining,
            State::Stopped {} => Self::Stopped,
        }
    }
}
