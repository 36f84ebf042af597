//! Tests of reading and checking settings.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use ryerouter_settings::{
    FIELDS, FieldDefault, FieldKind, LogLevel, NodeSettings, SettingOverride, SettingsError,
    SettingsFault, parse,
};
use yare::parameterized;

const MINIMAL: &str = r#"
name = "node-1"
region = "kingston"
data_centre = "port-royal"
zone = "port-royal-a"

[platform]
object_api = "127.0.0.1:2379"
machine_list = "127.0.0.1:2380"
"#;

fn accepted(text: &str, overrides: &[SettingOverride]) -> NodeSettings {
    parse(text, overrides).unwrap_or_else(|error| panic!("{error}"))
}

fn faults(text: &str, overrides: &[SettingOverride]) -> Vec<SettingsFault> {
    match parse(text, overrides) {
        Err(SettingsError::Invalid { faults }) => faults,
        other => panic!("expected faults, got {other:?}"),
    }
}

#[test]
fn a_minimal_file_gets_the_defaults() {
    let settings = accepted(MINIMAL, &[]);
    assert_eq!(settings.zone.as_str(), "port-royal-a");
    assert_eq!(settings.limits.body_bytes, 8 * 1024 * 1024);
    assert_eq!(settings.limits.header_timeout.as_secs(), 60);
    assert_eq!(settings.log_level, LogLevel::Info);
    assert!(settings.peers.seeds.is_empty());
    assert!(settings.tls.callers.is_none());
}

#[test]
fn an_override_wins_over_the_file() {
    let overrides = [
        SettingOverride::new("zone", "port-royal-b"),
        SettingOverride::new("peers.seeds", "10.0.0.1:7946, 10.0.0.2:7946"),
        SettingOverride::new("limits.body_bytes", "65_536"),
    ];
    let settings = accepted(MINIMAL, &overrides);
    assert_eq!(settings.zone.as_str(), "port-royal-b");
    assert_eq!(settings.peers.seeds.len(), 2);
    assert_eq!(settings.limits.body_bytes, 65_536);
}

#[test]
fn an_override_can_give_what_the_file_lacks() {
    let overrides = FIELDS
        .iter()
        .filter(|field| field.path.starts_with("platform.") && field.kind == FieldKind::Address)
        .map(|field| SettingOverride::new(field.path, "127.0.0.1:9"))
        .chain(
            ["name", "region", "data_centre", "zone"].map(|path| SettingOverride::new(path, "x")),
        )
        .collect::<Vec<_>>();
    assert_eq!(accepted("", &overrides).name.as_str(), "x");
}

#[test]
fn ten_faults_are_reported_at_once_with_their_lines() {
    let text = r#"name = "no spaces"
region = 7
data_center = "port-royal"
zone = ""
[listen]
callers = "localhost:8080"
rpc = "127.0.0.1:7946"
peers = "127.0.0.1:7946"
[platform]
object_api = "127.0.0.1:0"
[limits]
body_bytes = 12
connect_timeout = 5
[log]
level = "loud"
"#;
    let faults = faults(text, &[]);
    let of = |field: &str| {
        let found = faults.iter().find(|fault| fault.field == field);
        found.unwrap_or_else(|| panic!("no fault for {field}: {faults:#?}"))
    };
    assert_eq!(of("name").origin, "line 1: ");
    assert_eq!(of("name").value, "\"no spaces\"");
    assert_eq!(of("region").value, "7");
    assert!(
        of("data_center")
            .reason
            .contains("did you mean data_centre?")
    );
    assert!(of("data_centre").reason.contains("required"));
    assert_eq!(of("zone").origin, "line 4: ");
    assert!(of("listen.callers").reason.contains("no IP:PORT"));
    assert!(
        of("listen.peers")
            .reason
            .contains("also the address of listen.rpc")
    );
    assert!(of("platform.object_api").reason.contains("port 0"));
    assert!(of("platform.machine_list").reason.contains("required"));
    assert_eq!(
        of("limits.body_bytes").reason,
        "expected 1024 to 1073741824"
    );
    assert!(
        of("limits.connect_timeout")
            .reason
            .contains("limits.connect_timeout_ms")
    );
    assert!(of("log.level").reason.contains("critical, error, warning"));
    assert_eq!(faults.len(), 12, "{faults:#?}");
}

#[parameterized(
    missing_key = { "[tls.rpc]\ncertificate_file = \"a\"", "tls.rpc.key_file" },
    missing_certificate = { "[tls.callers]\nkey_file = \"a\"", "tls.callers.certificate_file" },
    peers_without_authority = {
        "[tls.peers]\nkey_file = \"a\"\ncertificate_file = \"b\"", "tls.peers.authority_file"
    },
    authority_alone = { "[tls.rpc]\nauthority_file = \"a\"", "tls.rpc.authority_file" },
    unreachable_peers = { "[listen]\npeers = \"0.0.0.0:7946\"", "listen.peers" },
    too_small_hold = { "[limits]\nheld_body_bytes = 2048", "limits.held_body_bytes" },
    wrong_type = { "[limits]\nconnections = 1.5", "limits.connections" },
    negative = { "[limits]\nconnections = -1", "limits.connections" },
    seeds_of_numbers = { "[peers]\nseeds = [1]", "peers.seeds" },
    bad_seed = { "[peers]\nseeds = [\"a:b\"]", "peers.seeds" },
    scalar_for_table = { "limits = 3", "limits" },
)]
fn a_single_fault_is_found(addition: &str, field: &str) {
    // Top-level keys come before the tables, so an addition may be either.
    let text = match addition.starts_with('[') {
        true => format!("{MINIMAL}{addition}\n"),
        false => format!("{addition}\n{MINIMAL}"),
    };
    let faults = faults(&text, &[]);
    assert_eq!(faults.len(), 1, "{faults:#?}");
    assert_eq!(faults[0].field, field);
}

#[test]
fn a_syntax_error_names_its_line() {
    let faults = faults(&format!("{MINIMAL}[limits\n"), &[]);
    assert!(
        faults
            .iter()
            .any(|fault| fault.origin == "line 10: " && fault.field == "(syntax)")
    );
}

#[test]
fn changed_fields_tell_what_a_reload_may_change() {
    let old = accepted(MINIMAL, &[]);
    let overrides = ["log.level=debug", "limits.connections=5"];
    let overrides = overrides.map(|text| SettingOverride::parse(text).expect("an override"));
    let new = accepted(MINIMAL, &overrides);
    let changed = new.changed_fields(&old);
    let of = |reloadable: bool| {
        let fields = changed
            .iter()
            .filter(|field| field.reloadable == reloadable);
        fields.map(|field| field.path).collect::<Vec<_>>()
    };
    assert_eq!(of(true), ["log.level"]);
    assert_eq!(of(false), ["limits.connections"]);
}

#[test]
fn every_default_is_a_value_its_field_takes() {
    for field in FIELDS {
        let text = match field.default {
            FieldDefault::Required | FieldDefault::Absent => continue,
            FieldDefault::Integer(number) => number.to_string(),
            FieldDefault::Text(text) => text.to_owned(),
        };
        let change = SettingOverride::new(field.path, &text);
        assert_eq!(
            accepted(MINIMAL, &[change]),
            accepted(MINIMAL, &[]),
            "{}",
            field.path
        );
    }
}

#[test]
fn every_number_is_held_to_its_range() {
    for field in FIELDS {
        let FieldKind::Integer { min, max } = field.kind else {
            continue;
        };
        for (value, good) in [(min, true), (max, true), (max + 1, false)] {
            let change = SettingOverride::new(field.path, &value.to_string());
            let result = parse(MINIMAL, &[change]);
            // Rules between two fields have no origin; they are tested elsewhere.
            let out_of_range = matches!(&result, Err(SettingsError::Invalid { faults })
                if faults.iter().any(|fault| fault.origin == "flag: "));
            assert_eq!(out_of_range, !good, "{} = {value}: {result:?}", field.path);
        }
    }
}

/// The same cases in each run.
fn fixed_cases() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed_cases())]

    #[test]
    fn no_text_makes_the_reader_fail_otherwise_than_by_faults(text in "\\PC*(\n\\PC*){0,4}") {
        match parse(&text, &[]) {
            Ok(_) => {}
            Err(SettingsError::Invalid { faults }) => prop_assert!(!faults.is_empty()),
            Err(other) => prop_assert!(false, "{other}"),
        }
    }

    #[test]
    fn a_damaged_file_is_accepted_or_refused_with_faults(
        at in 0..MINIMAL.len(),
        insertion in "[\\[\\]\"=.a-z0-9\n]{0,6}",
    ) {
        let text = format!("{}{insertion}{}", &MINIMAL[..at], &MINIMAL[at..]);
        if let Err(SettingsError::Invalid { faults }) = parse(&text, &[]) {
            prop_assert!(faults.iter().all(|fault| !fault.reason.is_empty()));
        }
    }
}
