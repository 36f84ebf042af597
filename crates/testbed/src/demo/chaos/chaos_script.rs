//! The faults of a run.

use std::time::Duration;

use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use super::{ChaosStep, OutageKind, TimedStep};
use crate::standins::model_engine::{EngineFaults, StreamFault};
use crate::standins::objects::ObjectApiFaults;

/// Of a thousand streams, how many an engine spoils.
const STREAM_FAULTS_PERMILLE: u16 = 80;
/// Of a thousand cache events, how many are lost.
const LOST_EVENTS_PERMILLE: u16 = 200;
/// Of a thousand plain requests, how many are not answered.
const LOST_ANSWERS_PERMILLE: u16 = 50;
/// Of a thousand writes to the object API, how many are not answered.
const LOST_WRITES_PERMILLE: u16 = 300;
/// Engines that are drained: the last ones. They do not die, so that what they take is counted.
const DRAINED_ENGINES: usize = 2;
/// How long a dead engine stays away.
const ENGINE_DOWN: Duration = Duration::from_millis(1_500);
/// How long a router node stays away.
const ROUTER_DOWN: Duration = Duration::from_millis(500);
/// Delay of the object API while it is slow.
const SLOW: Duration = Duration::from_millis(80);

/// Builds a script.
struct ScriptWriter {
    length: Duration,
    random: ChaCha8Rng,
    steps: Vec<TimedStep>,
}

/// The faults of a run of `length` in a deployment of this size, in the order of their times.
///
/// Nodes die alone and in herds, also while the object API is frozen or down; one is stopped as
/// planned; engines die; streams are spoilt in every way; an operator drains engines. There must be
/// at least three engines.
pub fn chaos_script(length: Duration, routers: usize, engines: usize, seed: u64) -> Vec<TimedStep> {
    let mut writer = ScriptWriter {
        length,
        random: ChaCha8Rng::seed_from_u64(seed),
        steps: Vec::new(),
    };
    writer.spoil_streams();
    writer.crash_engines(engines);
    writer.trouble_platform();
    writer.replace_routers(routers);
    writer.drain(engines);
    writer.steps.sort_by_key(|step| step.at);
    writer.steps
}

impl ScriptWriter {
    /// Adds a step at a part of the run.
    fn at(&mut self, part: f64, step: ChaosStep) {
        self.after(self.length.mul_f64(part), step);
    }

    fn after(&mut self, at: Duration, step: ChaosStep) {
        self.steps.push(TimedStep { at, step });
    }

    fn spoil_streams(&mut self) {
        let faults = [
            (0.05, StreamFault::Cut),
            (0.20, StreamFault::Duplicate),
            (0.30, StreamFault::Swap),
            (0.40, StreamFault::Skip),
            (0.50, StreamFault::Truncate),
            (0.60, StreamFault::Cut),
        ];
        for (part, fault) in faults {
            let faults = EngineFaults {
                stream: Some(fault),
                stream_permille: STREAM_FAULTS_PERMILLE,
                wrong_attempt: false,
                lost_events_permille: LOST_EVENTS_PERMILLE,
            };
            self.at(part, ChaosStep::Engines(faults));
        }
        self.at(0.90, ChaosStep::Engines(EngineFaults::default()));
        self.at(0.45, ChaosStep::LostServiceAnswers(LOST_ANSWERS_PERMILLE));
        self.at(0.65, ChaosStep::LostServiceAnswers(0));
    }

    fn crash_engines(&mut self, engines: usize) {
        // Different ones, since one that is dead cannot die.
        let mut order: Vec<usize> = (0..engines - DRAINED_ENGINES).collect();
        order.shuffle(&mut self.random);
        for (part, engine) in [0.10, 0.35, 0.62].into_iter().zip(order) {
            let at = self.length.mul_f64(part);
            self.after(at, ChaosStep::CrashEngine(engine));
            self.after(at + ENGINE_DOWN, ChaosStep::RestartEngine(engine));
        }
    }

    fn trouble_platform(&mut self) {
        let healthy = ObjectApiFaults::default();
        let frozen = ObjectApiFaults {
            frozen: true,
            ..healthy.clone()
        };
        let down = ObjectApiFaults {
            down: true,
            ..healthy.clone()
        };
        let unreliable = ObjectApiFaults {
            delay: SLOW,
            lost_answers_permille: LOST_WRITES_PERMILLE,
            stale_lists: true,
            ..healthy.clone()
        };
        self.at(0.22, ChaosStep::Objects(frozen));
        self.at(0.34, ChaosStep::Objects(down));
        self.at(0.50, ChaosStep::Objects(unreliable));
        self.at(0.85, ChaosStep::Objects(healthy));
        self.at(0.30, ChaosStep::HintsDown(true));
        self.at(0.55, ChaosStep::HintsDown(false));
    }

    fn replace_routers(&mut self, routers: usize) {
        let mut order: Vec<usize> = (0..routers).collect();
        order.shuffle(&mut self.random);
        let herd = routers.div_ceil(2);
        let outages = [
            (0.12, OutageKind::Kill, 1),
            (0.25, OutageKind::Stop, 1),
            (0.38, OutageKind::Kill, 1),
            (0.68, OutageKind::Kill, herd),
        ];
        let mut next = order.into_iter().cycle();
        for (part, kind, count) in outages {
            for router in next.by_ref().take(count) {
                let down = ROUTER_DOWN;
                self.at(part, ChaosStep::Router { router, kind, down });
            }
        }
    }

    fn drain(&mut self, engines: usize) {
        // Once while the object API is well and once while it loses answers.
        self.at(0.02, ChaosStep::Drain(engines - 1));
        self.at(0.58, ChaosStep::Drain(engines - 2));
    }
}
