//! Permits that have been returned and not yet been accounted for.

use std::cell::RefCell;

use ryerouter_core::identity::{BackEndName, Incarnation};
use ryerouter_core::permit::Number;
use tokio::sync::Notify;

use super::Outcome;

/// A permit that has been returned.
#[derive(Debug)]
pub struct Return {
    /// The engine.
    pub engine: BackEndName,
    /// Its incarnation.
    pub incarnation: Option<Incarnation>,
    /// Number of the permit.
    pub number: Number,
    /// How its use ended.
    pub outcome: Outcome,
}

/// Permits that have been returned. A permit may be dropped anywhere, also while the gateway's state is borrowed, so
/// it is accounted for later.
#[derive(Debug, Default)]
pub struct Returns {
    waiting: RefCell<Vec<Return>>,
    added: Notify,
}

impl Returns {
    /// Adds a permit.
    pub fn push(&self, returned: Return) {
        self.waiting.borrow_mut().push(returned);
        self.added.notify_one();
    }

    /// Makes the permits be accounted for soon, although none was added.
    pub fn wake(&self) {
        self.added.notify_one();
    }

    /// Takes all permits.
    pub fn take(&self) -> Vec<Return> {
        self.waiting.take()
    }

    /// Resolves once permits have been added.
    pub async fn added(&self) {
        self.added.notified().await;
    }
}
