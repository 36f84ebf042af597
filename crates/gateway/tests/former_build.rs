//! Datagrams that the former build sent (`samples/datagrams.jsonl`, one of each kind, every field set), and what
//! it must be able to read of this one's: nodes of both run side by side while one replaces the other.

use ryerouter_gateway::peers::{Datagram, NodeState, Pass};
use serde_json::{Value, json};
use yare::parameterized;

const SAMPLES: &str = include_str!("samples/datagrams.jsonl");

fn samples() -> impl Iterator<Item = Value> {
    let lines = SAMPLES.lines();
    lines.map(|line| serde_json::from_str(line).expect("sample"))
}

fn read(value: &Value) -> Datagram {
    serde_json::from_value(value.clone()).expect("datagram")
}

/// Whether `later` holds all that `former` does: fields are only added.
fn holds(later: &Value, former: &Value) -> bool {
    match (later, former) {
        (Value::Object(later), Value::Object(former)) => former
            .iter()
            .all(|(key, value)| later.get(key).is_some_and(|later| holds(later, value))),
        (Value::Array(later), Value::Array(former)) => {
            let mut pairs = later.iter().zip(former);
            later.len() == former.len() && pairs.all(|(later, former)| holds(later, former))
        }
        _ => later == former,
    }
}

/// Gives each object a field that no build knows.
fn with_unknown_fields(value: &mut Value) {
    match value {
        Value::Object(fields) => {
            fields.values_mut().for_each(with_unknown_fields);
            // An enum word with content is an object of one field, and a span of time one of two, which none may
            // be added to.
            if fields.len() > 1 && !fields.contains_key("nanos") {
                fields.insert("unknown".to_owned(), Value::from(1));
            }
        }
        Value::Array(entries) => entries.iter_mut().for_each(with_unknown_fields),
        _ => {}
    }
}

#[test]
fn what_the_former_build_sends_is_read_and_told_alike() {
    for sample in samples() {
        let told = serde_json::to_value(read(&sample)).expect("datagram");
        assert!(holds(&told, &sample), "{told} lacks some of {sample}");
    }
}

#[test]
fn unknown_fields_are_passed_over() {
    for sample in samples() {
        let mut later = sample.clone();
        with_unknown_fields(&mut later);
        assert_eq!(read(&later), read(&sample));
    }
}

fn message() -> Value {
    samples().next().expect("message")
}

#[test]
fn unknown_entries_are_passed_over_one_by_one() {
    let mut later = message();
    let news = &mut later["m"];
    let unknown = Value::from(vec!["another kind", "1", "2"]);
    for list in ["c", "k", "b"] {
        let entries = news[list].as_array_mut().expect("list");
        entries.insert(0, unknown.clone());
    }
    assert_eq!(read(&later), read(&message()));
}

#[parameterized(
    question = { "Q" },
    answer = { "A" },
    handover = { "H" },
)]
fn unknown_form_of_an_optional_field_is_passed_over_by_itself(field: &str) {
    for unknown in [Value::from("another form"), Value::from(vec![1, 2])] {
        let mut later = message();
        later["m"][field] = unknown;
        assert_eq!(read(&later), read(&message()));
    }
}

#[test]
fn what_a_later_build_adds_to_a_handover_is_passed_over() {
    let mut later = message();
    later["m"]["Q"] = json!({"f": 3, "n": 4, "e": ["e1", 7], "c": ["node-2", null]});
    later["m"]["A"] = json!({"f": 3, "n": 4, "e": ["e1", {}]});
    later["m"]["H"] = json!({"s": "node-2", "f": 3, "a": 5, "d": 6});
    let told = serde_json::to_value(read(&later)).expect("datagram");
    later["m"]["Q"]["e"] = json!(["e1"]);
    later["m"]["Q"]["c"] = json!(["node-2"]);
    later["m"]["A"]["e"] = json!(["e1"]);
    assert!(holds(&told, &later), "{told}");
    with_unknown_fields(&mut later);
    assert_eq!(serde_json::to_value(read(&later)).expect("datagram"), told);
}

#[test]
fn changes_of_another_kind_are_passed_over_one_by_one() {
    let sample = samples().nth(2).expect("answer");
    let mut later = sample.clone();
    for list in ["h", "l"] {
        let entries = later["a"][list].as_array_mut().expect("list");
        entries.push(Value::from("renamed"));
    }
    assert_eq!(read(&later), read(&sample));
}

#[test]
fn node_in_an_unknown_state_gets_no_callers() {
    let mut later = message();
    later["m"]["t"] = Value::from("asleep");
    let Datagram::Message(message) = read(&later) else {
        panic!("not a message");
    };
    assert_eq!(message.state, NodeState::Starting);
}

#[test]
fn news_that_are_to_be_passed_on_in_an_unknown_way_are_passed_on_to_nobody() {
    let mut later = samples().nth(5).expect("zone news");
    later["z"]["p"] = Value::from("backwards");
    let Datagram::Zone(news) = read(&later) else {
        panic!("not zone news");
    };
    assert_eq!(news.pass, Pass::End);
}
