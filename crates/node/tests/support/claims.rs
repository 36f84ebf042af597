//! Claims that a test decides.

use std::sync::Mutex;

use futures_util::future::BoxFuture;
use ryerouter_node::traffic::{ClaimDecision, ClaimGate, ClaimRequest};

/// Gives the same decision to every claim and notes claims and releases.
pub struct ScriptedClaims {
    decision: ClaimDecision,
    pub claimed: Mutex<Vec<ClaimRequest>>,
    pub released: Mutex<Vec<ClaimRequest>>,
    pub ended: Mutex<Vec<ClaimRequest>>,
}

impl ScriptedClaims {
    pub fn new(decision: ClaimDecision) -> Self {
        Self {
            decision,
            claimed: Mutex::default(),
            released: Mutex::default(),
            ended: Mutex::default(),
        }
    }
}

impl ClaimGate for ScriptedClaims {
    fn claim(&self, request: ClaimRequest) -> BoxFuture<'static, ClaimDecision> {
        self.claimed.lock().unwrap().push(request);
        Box::pin(std::future::ready(self.decision))
    }

    fn release(&self, request: ClaimRequest) {
        self.released.lock().unwrap().push(request);
    }

    fn ended(&self, request: ClaimRequest) {
        self.ended.lock().unwrap().push(request);
    }
}
