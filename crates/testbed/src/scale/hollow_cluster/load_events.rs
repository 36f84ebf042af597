//! Changes, failures and restarts that come from outside.

use super::*;

impl HollowCluster {
    pub(super) fn load(&mut self, event: LoadEvent) {
        self.schedule_next(event);
        match event {
            LoadEvent::Change | LoadEvent::BurstChange => self.submit_change(),
            LoadEvent::Burst => {
                for index in 0..load::BURST_CHANGES as u32 {
                    let after = load::BURST_LASTS * index / load::BURST_CHANGES as u32;
                    self.schedule(after, ScaleEvent::Load(LoadEvent::BurstChange));
                }
            }
            LoadEvent::EngineLeaves => self.engine_leaves(),
            LoadEvent::RackLeaves => {
                for _ in 0..load::RACK_ENGINES {
                    self.engine_leaves();
                }
            }
            LoadEvent::EngineReturns {
                engine,
                incarnation,
            } => self.observe(engine, incarnation, false),
            LoadEvent::NodeRestarts => self.restart_node(),
            LoadEvent::NodeFails => self.fail_node(),
        }
    }

    pub(super) fn submit_change(&mut self) {
        let Some(node) = self.random_serving() else {
            return;
        };
        self.submitted += 1;
        let change = load::nth_change(self.submitted, self.engines, &mut self.random);
        let event = ControlEvent::OperatorChange {
            operation: OperationId(self.submitted),
            change,
            dry_run: false,
        };
        self.give(self.nodes[node].process, event);
    }

    pub(super) fn engine_leaves(&mut self) {
        let engine = self.random.random_range(0..self.engines);
        if self
            .incarnations
            .get(&engine)
            .is_some_and(|state| state % 2 == 1)
        {
            return;
        }
        // Odd numbers are processes that have said they leave, even ones that serve.
        let incarnation = self.incarnations.get(&engine).copied().unwrap_or(0) + 1;
        self.incarnations.insert(engine, incarnation);
        let name = layout::engine_name(engine);
        let everyone = self.serving().collect();
        self.drains
            .begin((name, incarnation), everyone, self.now_micros);
        self.observe(engine, incarnation, true);
        let back = LoadEvent::EngineReturns {
            engine,
            incarnation: incarnation + 1,
        };
        self.schedule(load::ENGINE_AWAY, ScaleEvent::Load(back));
    }

    pub(super) fn observe(&mut self, engine: usize, incarnation: u64, draining: bool) {
        self.incarnations.insert(engine, incarnation);
        let Some(node) = self.random_serving() else {
            return;
        };
        let event = ControlEvent::BackEndObserved {
            back_end: layout::engine_name(engine),
            incarnation: Incarnation(incarnation),
            draining,
        };
        self.give(self.nodes[node].process, event);
    }

    pub(super) fn restart_node(&mut self) {
        let Some(node) = self.random_serving() else {
            return;
        };
        let process = self.nodes[node].process;
        self.give(process, ControlEvent::StopRequested);
        self.give(process, ControlEvent::TrafficEnded);
        self.schedule(load::RESTART_AWAY, ScaleEvent::Starts(node));
    }

    pub(super) fn fail_node(&mut self) {
        if let Some(node) = self.random_serving() {
            self.stop(node);
            self.schedule(load::FAILURE_AWAY, ScaleEvent::Starts(node));
        }
    }

    pub(super) fn serving(&self) -> impl Iterator<Item = usize> {
        (0..self.nodes.len()).filter(|node| self.nodes[*node].is_serving)
    }

    pub(super) fn random_serving(&mut self) -> Option<usize> {
        let serving: BTreeSet<usize> = self.serving().collect();
        serving.into_iter().choose(&mut self.random)
    }

    pub(super) fn schedule_next(&mut self, event: LoadEvent) {
        if let Some(pause) = load::time_to_next(event, &mut self.random) {
            self.schedule(pause, ScaleEvent::Load(event));
        }
    }
}
