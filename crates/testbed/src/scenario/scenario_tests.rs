//! Tests of scenario files.

use yare::parameterized;

use super::{BuiltIn, Scenario, ScenarioError};

#[parameterized(
    blue_mahoe = { BuiltIn::BlueMahoe, 18, 3 },
    callaghan = { BuiltIn::Callaghan, 12, 2 },
)]
fn built_in_scenarios_are_sound(built_in: BuiltIn, engines: u32, loads_at_once: u32) {
    let scenario = Scenario::built_in(built_in).expect("it parses");
    assert_eq!(scenario.name, built_in.to_string());
    assert_eq!(scenario.model_pool.engines, engines);
    assert_eq!(scenario.model_pool.weights_loads_at_once, loads_at_once);
    assert_eq!(scenario.zones().len(), 3);
    assert_eq!(scenario.data_centres.len(), 2);
    assert_eq!(scenario.tenants.len(), 8);
    assert_eq!(scenario.service_pool.processes, 3);
}

#[test]
fn all_faults_of_a_file_are_told_at_once() {
    let text = BuiltIn::BlueMahoe
        .text()
        .replace("engines = 18", "engines = 0")
        .replace("output_tokens = [80, 300]", "output_tokens = [300, 80]")
        .replace("hot_share = 0.25", "hot_share = 2.5");
    let Err(ScenarioError::Fields(errors)) = Scenario::parse(&text) else {
        panic!("the file is refused for its fields");
    };
    let fields: Vec<&str> = errors.iter().map(|error| error.field.as_str()).collect();
    for field in [
        "model_pool.engines",
        "classes[appraisal].output_tokens",
        "classes[shelf].items.hot_share",
        "faults[0].engine",
    ] {
        assert!(fields.contains(&field), "{field} is missing in {fields:?}");
    }
}

#[test]
fn unknown_field_is_refused() {
    let text = format!("nodes = 3\n{}", BuiltIn::Callaghan.text());
    assert!(matches!(
        Scenario::parse(&text),
        Err(ScenarioError::Parse(_))
    ));
}
