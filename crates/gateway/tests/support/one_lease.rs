//! A store of one lease.

use std::cell::{Cell, RefCell};
use std::future::pending;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use ryerouter_core::control::{
    ObjectKey, Precondition, StoreAnswer, StoreCall, StoreFailure, StoreValue, StoreVersion,
    StoredObject,
};
use ryerouter_core::order::{LeaseRecord, LeaseSettings};
use ryerouter_gateway::source::LeaseStore;
use tokio::time::sleep;

/// Orders of two holders lie three seconds apart at least.
pub const SETTINGS: LeaseSettings = LeaseSettings {
    duration: Duration::from_millis(1_350),
    renew_interval: Duration::from_millis(450),
    look_interval: Duration::from_millis(600),
    takeover_margin: Duration::from_millis(3_300),
    release_margin: Duration::from_millis(3_300),
};

/// A store of one lease.
#[derive(Default)]
pub struct OneLease {
    held: RefCell<Option<(StoreVersion, LeaseRecord)>>,
    pub delay: Cell<Duration>,
    /// Calls never end.
    pub is_silent: Cell<bool>,
    /// Calls are given up after a time.
    pub is_out_of_reach: Cell<bool>,
}

/// A call that gets no answer is given up after this time.
pub const CALL_LIMIT: Duration = Duration::from_secs(1);

fn unreachable_store() -> StoreAnswer {
    StoreAnswer::Failed(StoreFailure::Unavailable {
        detail: "no answer in time".to_owned(),
    })
}

impl OneLease {
    fn answer(&self, call: StoreCall) -> StoreAnswer {
        let mut held = self.held.borrow_mut();
        match call {
            StoreCall::Put {
                value: StoreValue::Lease(record),
                precondition,
                ..
            } => {
                let is_met = match (&*held, precondition) {
                    (None, Precondition::Absent) => true,
                    (Some((version, _)), Precondition::Version(asked)) => *version == asked,
                    _ => false,
                };
                if !is_met {
                    return StoreAnswer::Conflict { version: None };
                }
                let before = held.as_ref().map_or(0, |(version, _)| version.0);
                let version = StoreVersion(before + 1);
                *held = Some((version, record));
                StoreAnswer::Written { version }
            }
            _ => match &*held {
                None => StoreAnswer::NotFound,
                Some((version, record)) => StoreAnswer::Found(StoredObject {
                    key: ObjectKey::Lease("orders".to_owned()),
                    version: *version,
                    value: StoreValue::Lease(record.clone()),
                }),
            },
        }
    }

    /// Whether a node holds it, or did when it last wrote.
    pub fn has_holder(&self) -> bool {
        let held = self.held.borrow();
        held.as_ref()
            .is_some_and(|(_, record)| record.holder.is_some())
    }
}

impl LeaseStore for OneLease {
    fn call(&self, call: StoreCall) -> LocalBoxFuture<'_, StoreAnswer> {
        async move {
            if self.is_silent.get() {
                return pending().await;
            }
            if self.is_out_of_reach.get() {
                sleep(CALL_LIMIT).await;
                return unreachable_store();
            }
            sleep(self.delay.get()).await;
            self.answer(call)
        }
        .boxed_local()
    }
}
