//! A hollow node.

use ryerouter_core::Timestamp;
use ryerouter_core::control::{ControlSettings, ControlState};
use ryerouter_core::identity::ConfigVersion;

use super::process::Process;
use super::traffic::Traffic;

/// A node that has real control state and nothing else.
pub struct HollowNode {
    /// Its control state; `None` while the process is not running.
    pub state: Option<ControlState>,
    /// What its requests cause.
    pub traffic: Option<Traffic>,
    /// Its current or latest start.
    pub process: Process,
    /// When that start began.
    pub started_micros: u64,
    /// Whether it has come to serve.
    pub is_serving: bool,
    /// The configuration in force on it.
    pub version: ConfigVersion,
}

impl HollowNode {
    /// A node whose process has not started yet.
    pub fn new(node: usize) -> Self {
        Self {
            state: None,
            traffic: None,
            process: Process { node, start: 0 },
            started_micros: 0,
            is_serving: false,
            version: ConfigVersion::default(),
        }
    }

    /// Starts a new, empty process.
    pub fn start(&mut self, settings: ControlSettings, now_micros: u64) {
        let now = Timestamp::from_micros(now_micros);
        let name = settings.name.clone();
        self.traffic = Some(Traffic::new(self.process.node, name, now));
        self.state = Some(ControlState::new(settings));
        self.process.start += 1;
        self.started_micros = now_micros;
        self.is_serving = false;
        self.version = ConfigVersion::default();
    }

    /// Ends its process.
    pub fn stop(&mut self) {
        self.state = None;
        self.traffic = None;
        self.is_serving = false;
    }

    /// Whether it runs this start.
    pub fn runs(&self, process: Process) -> bool {
        self.state.is_some() && self.process == process
    }
}
