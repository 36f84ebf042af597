//! Cache isolation.

use super::PromiseCheck;
use crate::oracle::{Observation, Promise, Violation};

/// Each reliance on the cache names the live incarnation, the own tenant and current weights.
pub struct CacheIsolationCheck;

impl PromiseCheck for CacheIsolationCheck {
    fn observe(&mut self, now_us: u64, observation: &Observation, found: &mut Vec<Violation>) {
        let Observation::CacheRelied {
            submission,
            back_end,
            actual_incarnation,
            relied_incarnation,
            tenant,
            entry_tenant,
            entry_weights,
            current_weights,
        } = observation
        else {
            return;
        };
        let dead = relied_incarnation.is_some_and(|relied| relied != *actual_incarnation);
        if dead || entry_weights != current_weights || entry_tenant != tenant {
            found.push(Violation {
                promise: Promise::CacheIsolation,
                at_us: now_us,
                detail: format!(
                    "submission={submission} back_end={back_end} \
                     actual_incarnation={actual_incarnation} \
                     relied_incarnation={relied_incarnation:?} tenant={tenant} \
                     entry_tenant={entry_tenant} entry_weights={entry_weights} \
                     current_weights={current_weights}"
                ),
            });
        }
    }
}
