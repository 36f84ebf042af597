//! Permission for one request at an engine.

use std::rc::Rc;

use ryerouter_core::identity::{BackEndName, Incarnation};
use ryerouter_core::permit::Number;

use super::{Outcome, Return, Returns};

/// Permission for one request at an engine, returned when it is dropped.
#[derive(Debug)]
pub struct Permit {
    returns: Rc<Returns>,
    engine: BackEndName,
    incarnation: Option<Incarnation>,
    number: Number,
    outcome: Outcome,
}

impl Permit {
    /// Creates a permit that goes to `returns` when it is dropped.
    pub fn new(
        returns: Rc<Returns>,
        engine: BackEndName,
        incarnation: Option<Incarnation>,
        number: Number,
    ) -> Self {
        Self {
            returns,
            engine,
            incarnation,
            number,
            outcome: Outcome::Abandoned,
        }
    }

    /// Records that the engine no longer has the request, or how it refused it.
    pub fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.returns.push(Return {
            engine: self.engine.clone(),
            incarnation: self.incarnation,
            number: self.number,
            outcome: self.outcome,
        });
    }
}
