//! Looks for broken promises in how calls ended and in what the stand-ins saw.

use std::collections::BTreeMap;

use ryerouter_core::dispatch::RunState;

use super::{Call, CallEnd, CallRecord, CallWork};
use crate::cluster::StandInSet;

/// All broken promises, each in a sentence.
pub fn check_promises(records: &[CallRecord], stand_ins: &StandInSet) -> Vec<String> {
    let mut broken = Vec::new();
    for record in records {
        if let CallEnd::Wrong { reason } = &record.end {
            broken.push(format!("wrong answer to {}: {reason}", record.call.id));
        }
        if let Some(count) = false_not_run(record, stand_ins) {
            let id = &record.call.id;
            broken.push(format!(
                "{id} was told not to have run and ran {count} times"
            ));
        }
    }
    for (key, count) in ran_twice(records, stand_ins) {
        broken.push(format!("at-most-once key {key} ran {count} times"));
    }
    let totals = stand_ins.ledger.totals();
    if totals.crossed_prefixes > 0 {
        let count = totals.crossed_prefixes;
        broken.push(format!(
            "{count} prefixes shared over tenants, models or weights"
        ));
    }
    if totals.wrong_continuations > 0 {
        let count = totals.wrong_continuations;
        broken.push(format!(
            "{count} continuations with another text than was said"
        ));
    }
    broken
}

/// Keys that ran more than once, with how often.
pub fn ran_twice(records: &[CallRecord], stand_ins: &StandInSet) -> BTreeMap<String, u32> {
    let calls = records.iter().map(|record| &record.call);
    let keyed = calls.filter_map(|call| Some((call.at_most_once_key.clone()?, call)));
    keyed
        .map(|(key, call)| (key, executions(call, stand_ins)))
        .filter(|(_, count)| *count > 1)
        .collect()
}

/// How often a call ran that its caller was told not to have run.
fn false_not_run(record: &CallRecord, stand_ins: &StandInSet) -> Option<u32> {
    let CallEnd::Refused {
        run_state: RunState::NotRun,
        ..
    } = record.end
    else {
        return None;
    };
    let count = executions(&record.call, stand_ins);
    (count > 0).then_some(count)
}

fn executions(call: &Call, stand_ins: &StandInSet) -> u32 {
    match &call.work {
        CallWork::Model { prompt, .. } => stand_ins.executions.count(prompt),
        CallWork::Service { counted_as, .. } => stand_ins.service_executions(counted_as),
    }
}
