//! Fencing.

use std::collections::HashMap;

use super::PromiseCheck;
use crate::oracle::{Observation, Promise, Violation};

/// Fencing numbers obeyed by one incarnation of a back end never fall.
#[derive(Default)]
pub struct FencingCheck {
    newest: HashMap<(String, u64), u64>,
}

impl PromiseCheck for FencingCheck {
    fn observe(&mut self, now_us: u64, observation: &Observation, found: &mut Vec<Violation>) {
        let Observation::OrderObeyed {
            back_end,
            incarnation,
            fencing_number,
        } = observation
        else {
            return;
        };
        let newest = self
            .newest
            .entry((back_end.clone(), *incarnation))
            .or_insert(*fencing_number);
        if fencing_number < newest {
            found.push(Violation {
                promise: Promise::Fencing,
                at_us: now_us,
                detail: format!("back_end={back_end} obeyed={fencing_number} after={newest}"),
            });
        }
        *newest = (*newest).max(*fencing_number);
    }
}
