//! The loop of the control thread.

use std::sync::Arc;

use ryerouter_core::control::{ControlAction, ControlEvent, ControlState};
use ryerouter_core::dispatch::RoutingSnapshot;
use ryerouter_core::identity::{NodeName, StageName};
use ryerouter_core::lifecycle::NodePhase;
use slog::{Logger, info};
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;

use crate::clock::Clock;

use super::claim_command::ClaimCommand;
use super::pending_claim::PendingClaim;
use super::{
    BackEndObservation, ControlCommand, ControlIo, ControlQueues, ControlReport, GrantSink,
    PendingOperations,
};

/// The loop of the control thread: the only owner of the control state.
pub(super) struct ControlLoop {
    pub(super) state: ControlState,
    pub(super) clock: Clock,
    pub(super) logger: Logger,
    pub(super) io: ControlIo,
    pub(super) events: mpsc::Receiver<ControlEvent>,
    pub(super) queues: ControlQueues,
    pub(super) grants: Option<Box<dyn GrantSink>>,
    pub(super) operations: PendingOperations,
}

impl ControlLoop {
    /// Runs until the node has stopped or nobody can ask anything of it any more.
    pub(super) async fn run(mut self) {
        let mut tick = tokio::time::interval(ControlState::TICK);
        // After a pause one tick is enough: the state reads the time, it does not count ticks.
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.handle(ControlEvent::Started);
        while self.state.phase() != NodePhase::Stopped {
            let event = tokio::select! {
                Some(event) = self.events.recv() => event,
                command = self.queues.commands.recv() => match command {
                    Some(command) => match self.event_of_command(command) {
                        Some(event) => event,
                        None => continue,
                    },
                    None => break,
                },
                Some(claim) = self.queues.claims.recv() => self.event_of_claim(claim),
                Some(send) = self.queues.limit_sends.recv() => ControlEvent::LimitSent(send),
                Some(observation) = self.queues.observations.recv() => event_of_observation(observation),
                _ = tick.tick() => ControlEvent::Tick,
            };
            self.handle(event);
        }
        info!(self.logger, "control_ended");
    }

    fn event_of_command(&mut self, command: ControlCommand) -> Option<ControlEvent> {
        let event = match command {
            ControlCommand::Change {
                change,
                dry_run,
                reply,
            } => ControlEvent::OperatorChange {
                operation: self.operations.add_change(reply),
                change,
                dry_run,
            },
            ControlCommand::Status { reply } => ControlEvent::StatusRequested {
                operation: self.operations.add_status(reply),
            },
            ControlCommand::Stop => ControlEvent::StopRequested,
            ControlCommand::TrafficEnded => ControlEvent::TrafficEnded,
            ControlCommand::SetGrantSink(sink) => {
                self.grants = Some(sink);
                return None;
            }
        };
        Some(event)
    }

    fn event_of_claim(&mut self, command: ClaimCommand) -> ControlEvent {
        match command {
            ClaimCommand::Claim { tenant, key, reply } => {
                let pending = PendingClaim {
                    tenant: tenant.clone(),
                    key: key.clone(),
                    reply,
                };
                ControlEvent::ClaimRequested {
                    operation: self.operations.add_claim(pending),
                    tenant,
                    key,
                }
            }
            ClaimCommand::Release { tenant, key } => ControlEvent::ClaimReleased { tenant, key },
            ClaimCommand::End { tenant, key } => ControlEvent::ClaimEnded { tenant, key },
        }
    }

    fn handle(&mut self, event: ControlEvent) {
        let mut actions = Vec::new();
        self.state.handle(event, self.clock.now(), &mut actions);
        self.queues.changes.follow(self.state.replica());
        // What is in force is shown before anybody is told of it, so that an operator who reads
        // after an accepted change finds it.
        let (published, others): (Vec<_>, Vec<_>) = actions
            .into_iter()
            .partition(|action| matches!(action, ControlAction::PublishSnapshot(_)));
        for action in published.into_iter().chain(others) {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: ControlAction) {
        match action {
            ControlAction::SendDatagram { to, message } => self.io.send_datagram(to, &message),
            ControlAction::SendStream { to, message } => self.io.send_stream(to, message),
            ControlAction::StoreRequest { id, call } => self.io.call_store(id, call),
            ControlAction::StartWatch { prefix, from } => self.io.start_watch(prefix, from),
            ControlAction::StopWatch { prefix } => self.io.stop_watch(prefix),
            ControlAction::StartMachineList => self.io.start_machine_list(),
            ControlAction::StopMachineList => self.io.stop_machine_list(),
            ControlAction::PublishSnapshot(snapshot) => self.publish(snapshot),
            ControlAction::AnswerOperator { operation, answer } => {
                self.operations.answer_change(operation, answer);
            }
            ControlAction::AnswerClaim { operation, outcome } => {
                if let Some(release) = self.operations.answer_claim(operation, outcome) {
                    self.handle(release);
                }
            }
            ControlAction::LimitGranted { from, grant } => {
                if let Some(grants) = &self.grants {
                    grants.granted(from, grant);
                }
            }
            ControlAction::MeasureStage { stage, asker } => self.measure(&stage, asker),
            ControlAction::PollEngine { back_end, address } => {
                self.io.engines().poll(back_end, address);
            }
            ControlAction::OrderEngine {
                back_end,
                address,
                order,
                valid_until,
            } => {
                let clock = self.clock;
                let engines = self.io.engines();
                engines.order(back_end, address, order, valid_until, clock);
            }
            ControlAction::AnswerStatus { operation, status } => {
                let report = ControlReport {
                    cluster: status,
                    phase: self.state.phase(),
                    object_api_reachable: self.io.object_api_reachable(),
                };
                self.operations.answer_status(operation, report);
            }
            ControlAction::EnterPhase(phase) => self.enter(phase),
        }
    }

    fn measure(&mut self, stage: &StageName, asker: NodeName) {
        let measurement = self
            .grants
            .as_ref()
            .and_then(|traffic| traffic.take_measurement(stage));
        if let Some(measurement) = measurement {
            self.handle(ControlEvent::StageMeasured { asker, measurement });
        }
    }

    fn publish(&self, snapshot: Arc<RoutingSnapshot>) {
        info!(self.logger, "snapshot_published";
            "config_version" => snapshot.catalog.version.0, "leaving" => snapshot.leaving.len());
        self.queues.snapshots.send_replace(snapshot);
    }

    fn enter(&self, phase: NodePhase) {
        info!(self.logger, "phase_entered"; "phase" => %phase);
        self.queues.phases.send_replace(phase);
    }
}

fn event_of_observation(observation: BackEndObservation) -> ControlEvent {
    ControlEvent::BackEndObserved {
        back_end: observation.back_end,
        incarnation: observation.incarnation,
        draining: observation.draining,
    }
}
