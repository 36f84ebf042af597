//! Tells the control thread what answers say of back ends.

use std::collections::HashMap;

use parking_lot::Mutex;
use ryerouter_core::dispatch::EngineObservation;
use ryerouter_core::identity::{BackEndName, Incarnation};
use tokio::sync::mpsc;

use crate::control::BackEndObservation;

/// Tells the control thread what answers say of back ends, when it differs from what it was told
/// last.
#[derive(Debug)]
pub struct ObservationSink {
    sender: mpsc::Sender<BackEndObservation>,
    told: Mutex<HashMap<BackEndName, ToldState>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ToldState {
    incarnation: Incarnation,
    draining: bool,
}

impl ObservationSink {
    /// A sink into this channel.
    pub fn new(sender: mpsc::Sender<BackEndObservation>) -> Self {
        Self {
            sender,
            told: Mutex::default(),
        }
    }

    /// A sink whose observations nobody wants.
    pub fn discarding() -> Self {
        let (sender, _) = mpsc::channel(1);
        Self::new(sender)
    }

    /// Notes an observation. When the control thread is behind, it is told with a later one.
    pub fn note(&self, back_end: &BackEndName, observation: &EngineObservation) {
        let state = ToldState {
            incarnation: observation.incarnation,
            draining: observation.draining,
        };
        let mut told = self.told.lock();
        if told.get(back_end) == Some(&state) {
            return;
        }
        let sent = self.sender.try_send(BackEndObservation {
            back_end: back_end.clone(),
            incarnation: state.incarnation,
            draining: state.draining,
        });
        if sent.is_ok() {
            told.insert(back_end.clone(), state);
        }
    }

    /// Forgets back ends that are no longer configured.
    pub(crate) fn retain(&self, is_configured: impl Fn(&BackEndName) -> bool) {
        self.told.lock().retain(|name, _| is_configured(name));
    }
}
