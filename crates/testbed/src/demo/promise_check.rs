//! Looks for broken promises in how calls ended and in what the stand-ins saw.

use std::collections::BTreeMap;

use ryerouter_core::dispatch::RunState;

use super::chaos::ChaosLog;
use super::{Call, CallEnd, CallRecord, CallWork};
use crate::cluster::StandInSet;

/// All submissions that ask for the same thing.
type SameCalls<'a> = BTreeMap<&'a str, Vec<&'a CallRecord>>;

/// All broken promises, each in a sentence.
pub fn check_promises(
    records: &[CallRecord],
    stand_ins: &StandInSet,
    chaos: &ChaosLog,
) -> Vec<String> {
    let mut broken = chaos.broken.clone();
    for record in records {
        broken.extend(broken_by(record, chaos));
    }
    for same in same_calls(records).values() {
        broken.extend(false_not_run(same, stand_ins));
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

/// A wrong answer, and an answer cut without the death of its node.
fn broken_by(record: &CallRecord, chaos: &ChaosLog) -> Option<String> {
    let (node, sent, ended) = (record.call.node, record.sent, record.ended);
    let id = &record.call.id;
    match &record.end {
        CallEnd::Wrong { reason } => Some(format!("wrong answer to {id}: {reason}")),
        CallEnd::Broken { reason } => {
            let mut outages = chaos.outages.iter();
            let explained = outages.any(|outage| outage.explains_cut(node, sent, ended));
            (!explained).then(|| format!("{id} was cut by node {node}, which lived: {reason}"))
        }
        CallEnd::NotConnected => {
            let mut outages = chaos.outages.iter();
            let explained = outages.any(|outage| outage.explains_no_connection(node, sent, ended));
            (!explained).then(|| format!("{id} found no connection to node {node}, which lived"))
        }
        CallEnd::Right { .. } | CallEnd::Refused { .. } => None,
    }
}

/// Submissions that were all told not to have run, of something that ran.
fn false_not_run(same: &[&CallRecord], stand_ins: &StandInSet) -> Option<String> {
    let first = &same.first()?.call;
    let told_not_run = same.iter().all(|record| did_not_run(&record.end));
    let count = executions(first, stand_ins);
    (told_not_run && count > 0).then(|| {
        format!(
            "{} was told not to have run and ran {count} times",
            first.id
        )
    })
}

fn did_not_run(end: &CallEnd) -> bool {
    matches!(
        end,
        CallEnd::NotConnected
            | CallEnd::Refused {
                run_state: RunState::NotRun,
                ..
            }
    )
}

fn same_calls(records: &[CallRecord]) -> SameCalls<'_> {
    let mut same = SameCalls::new();
    for record in records {
        let identity = identity(&record.call);
        same.entry(identity).or_default().push(record);
    }
    same
}

fn identity(call: &Call) -> &str {
    match &call.work {
        CallWork::Model { prompt, .. } => prompt,
        CallWork::Service { counted_as, .. } => counted_as,
    }
}

fn executions(call: &Call, stand_ins: &StandInSet) -> u32 {
    match &call.work {
        CallWork::Model { prompt, .. } => stand_ins.executions.count(prompt),
        CallWork::Service { counted_as, .. } => stand_ins.service_executions(counted_as),
    }
}
