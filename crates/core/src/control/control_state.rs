//! The control state.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::catalog::Catalog;
use crate::dispatch::RoutingSnapshot;
use crate::lifecycle::NodePhase;
use crate::timestamp::Timestamp;

use super::{ControlAction, ControlEvent, ControlSettings};

/// All control state of one router process.
#[derive(Debug)]
pub struct ControlState {
    settings: ControlSettings,
    phase: NodePhase,
    catalog: Arc<Catalog>,
}

impl ControlState {
    /// How often [`ControlEvent::Tick`] is due.
    pub const TICK: Duration = Duration::from_millis(100);

    /// State of a process that starts.
    pub fn new(settings: ControlSettings) -> Self {
        Self {
            settings,
            phase: NodePhase::Starting,
            catalog: Arc::default(),
        }
    }

    /// Takes an event and appends what must be done to `actions`.
    pub fn handle(
        &mut self,
        event: ControlEvent,
        _now: Timestamp,
        actions: &mut Vec<ControlAction>,
    ) {
        match event {
            ControlEvent::Started => self.publish(actions),
            ControlEvent::StopRequested => self.enter(NodePhase::Draining, actions),
            ControlEvent::TrafficEnded => self.enter(NodePhase::Stopped, actions),
            _ => {}
        }
    }

    /// What the node was told about itself.
    pub fn settings(&self) -> &ControlSettings {
        &self.settings
    }

    /// Its phase.
    pub fn phase(&self) -> NodePhase {
        self.phase
    }

    /// The configuration in force.
    pub fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    fn enter(&mut self, phase: NodePhase, actions: &mut Vec<ControlAction>) {
        self.phase = phase;
        actions.push(ControlAction::EnterPhase(phase));
    }

    fn publish(&self, actions: &mut Vec<ControlAction>) {
        let snapshot = RoutingSnapshot {
            catalog: Arc::clone(&self.catalog),
            leaving: BTreeSet::new(),
        };
        actions.push(ControlAction::PublishSnapshot(Arc::new(snapshot)));
    }
}
