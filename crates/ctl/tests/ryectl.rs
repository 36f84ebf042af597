//! Tests of `ryectl` against a scripted server.

mod support;

use std::path::PathBuf;

use ryerouter_core::catalog::{StageProgress, WeightsRollout};
use ryerouter_core::config::catalog_faults;
use ryerouter_core::identity::{ResourceVersion, WeightsVersion};
use ryerouter_ctl::ExitStatus;
use serde_json::Value;
use support::{Outcome, Reaction, ScriptedServer, invoke, invoke_with};
use yare::parameterized;

const SHOP: &str = r#"
[[stages]]
name = "shelf-east"
pool = "shelf"
source = "old"
target = "new"
target_share_permille = 500

[[back_ends]]
name = "shelf-1"
pool = "shelf"
address = "127.0.0.1:9001"
data_centre = "old"
zone = "old-a"

[[pools]]
name = "shelf"
kind = "model"
model = "shelf-7b"
weights_version = 3

[[tenants]]
name = "pickers"
weight = 2
limits.requests_per_second = 50
"#;

fn file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.toml"));
    std::fs::write(&path, text).expect("a writable directory");
    path.to_string_lossy().into_owned()
}

/// A server that has the shop's configuration, at version 1.
async fn server_with_shop(test: &str) -> ScriptedServer {
    let server = ScriptedServer::start().await;
    let outcome = invoke(server.address(), &["apply", &file(test, SHOP)]).await;
    assert_eq!(outcome.status, ExitStatus::Success, "{outcome:?}");
    server
}

fn json(outcome: &Outcome) -> Value {
    serde_json::from_str(outcome.output.trim())
        .unwrap_or_else(|error| panic!("{error}: {outcome:?}"))
}

#[tokio::test]
async fn apply_makes_all_writes_at_one_version_and_is_idempotent() {
    let server = ScriptedServer::start().await;
    let path = file("apply_all", SHOP);
    let first = invoke(server.address(), &["apply", &path]).await;
    assert_eq!(first.status, ExitStatus::Success, "{first:?}");
    let changes: Vec<&str> = first.output.lines().take(4).collect();
    let expected = [
        "+ tenant pickers",
        "+ pool shelf",
        "+ back-end shelf-1",
        "+ stage shelf-east",
    ];
    assert_eq!(changes, expected);
    assert!(first.output.contains("accepted as version 1"));
    let second = invoke(server.address(), &["apply", &path]).await;
    assert_eq!(second.output, "nothing to change at version 1\n");
    assert_eq!(server.version(), 1);
}

#[tokio::test]
async fn diff_tells_each_field_and_exits_with_one() {
    let server = server_with_shop("diff").await;
    let changed = SHOP.replace("weights_version = 3", "weights_version = 4");
    let path = file("diff_changed", &changed);
    let outcome = invoke(server.address(), &["diff", &path]).await;
    assert_eq!(outcome.status, ExitStatus::Different);
    assert_eq!(
        outcome.output,
        "~ pool shelf\n    weights_version: 3 -> 4\n"
    );
    let outcome = invoke(server.address(), &["--json", "diff", &path]).await;
    assert_eq!(json(&outcome)["changes"][0]["fields"][0]["new"], 4);
    let same = invoke(server.address(), &["diff", &file("diff_same", SHOP)]).await;
    assert_eq!(same.status, ExitStatus::Success);
}

#[tokio::test]
async fn prune_deletes_what_the_file_lacks_dependents_first() {
    let server = server_with_shop("prune").await;
    let path = file("prune_empty", "");
    let outcome = invoke(server.address(), &["diff", &path]).await;
    assert_eq!(
        outcome.status,
        ExitStatus::Success,
        "without --prune nothing is deleted"
    );
    let outcome = invoke(server.address(), &["apply", &path, "--prune"]).await;
    let changes: Vec<&str> = outcome.output.lines().take(4).collect();
    let expected = [
        "- stage shelf-east",
        "- back-end shelf-1",
        "- pool shelf",
        "- tenant pickers",
    ];
    assert_eq!(changes, expected);
    assert_eq!(server.version(), 2);
}

#[tokio::test]
async fn a_lost_answer_is_settled_by_the_same_change_id() {
    let server = ScriptedServer::start().await;
    server.script(&[Reaction::LoseAnswer]);
    let path = file("lost", SHOP);
    let outcome = invoke(server.address(), &["apply", &path, "--change-id", "c7"]).await;
    assert_eq!(outcome.status, ExitStatus::Success, "{outcome:?}");
    assert!(
        outcome
            .output
            .contains("had been accepted as version 1 (change c7)")
    );
    assert_eq!(server.seen(), ["c7", "c7"]);
    assert_eq!(server.version(), 1);
}

#[tokio::test]
async fn an_outcome_that_stays_unknown_is_told_with_the_change_id() {
    let server = ScriptedServer::start().await;
    server.script(&[Reaction::LoseRequest; 4]);
    let path = file("unknown", SHOP);
    let outcome = invoke(server.address(), &["apply", &path, "--change-id", "c8"]).await;
    assert_eq!(outcome.status, ExitStatus::OutcomeUnknown);
    assert!(outcome.errors.contains("--change-id c8"), "{outcome:?}");
}

#[tokio::test]
async fn a_refusal_after_a_lost_request_does_not_claim_that_nothing_was_written() {
    let server = ScriptedServer::start().await;
    server.script(&[Reaction::LoseRequest, Reaction::Denied]);
    let path = file("lost_denied", SHOP);
    let outcome = invoke(server.address(), &["apply", &path]).await;
    assert_eq!(outcome.status, ExitStatus::OutcomeUnknown, "{outcome:?}");
}

#[parameterized(
    store_down = { &[Reaction::Unavailable; 4], ExitStatus::Unavailable },
    store_back = { &[Reaction::Unavailable; 3], ExitStatus::Success },
    denied = { &[Reaction::Denied], ExitStatus::Denied },
)]
fn the_exit_code_tells_how_a_write_ended(script: &[Reaction], status: ExitStatus) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let server = ScriptedServer::start().await;
        server.script(script);
        let path = file(&format!("exit_{status:?}"), SHOP);
        let outcome = invoke(server.address(), &["apply", &path]).await;
        assert_eq!(outcome.status, status, "{outcome:?}");
        assert_eq!(server.version(), u64::from(status == ExitStatus::Success));
    });
}

#[tokio::test]
async fn a_lost_race_names_the_other_operator() {
    let server = server_with_shop("race").await;
    server.script(&[Reaction::ChangeFirst]);
    let moved = SHOP.replace("old-a", "old-b");
    let outcome = invoke(server.address(), &["apply", &file("race_moved", &moved)]).await;
    assert_eq!(outcome.status, ExitStatus::Conflict, "{outcome:?}");
    assert!(
        outcome
            .errors
            .contains("shelf-1: expected version 1, now at version 2")
    );
    assert!(outcome.errors.contains("changed by grace (change grace-1)"));
}

#[tokio::test]
async fn a_dry_run_writes_nothing() {
    let server = ScriptedServer::start().await;
    let path = file("dry", SHOP);
    let outcome = invoke(server.address(), &["apply", &path, "--dry-run", "--json"]).await;
    assert_eq!(json(&outcome)["dry_run"], true);
    assert_eq!(server.version(), 0);
}

#[tokio::test]
async fn faults_of_a_file_are_reported_at_once() {
    let server = ScriptedServer::start().await;
    let text = SHOP
        .replace("127.0.0.1:9001", "localhost")
        .replace("weight = 2", "weight = 0")
        .replace("\"model\"", "\"service\"")
        .replace("target = \"new\"", "target = \"old\"")
        .replace("500", "5000");
    let kinds = file("faults_kinds", &text);
    let outcome = invoke(server.address(), &["apply", &kinds]).await;
    assert_eq!(outcome.status, ExitStatus::Invalid);
    assert!(
        outcome
            .errors
            .contains("pools[shelf].model = shelf-7b: has no meaning")
    );
    assert!(outcome.errors.contains("pools[shelf].weights_version = 3"));
    let values = file("faults_values", &text.replace("\"service\"", "\"model\""));
    let outcome = invoke(server.address(), &["diff", &values]).await;
    assert_eq!(outcome.status, ExitStatus::Invalid);
    for part in [
        "back-end shelf-1: address = localhost: expected IP:PORT",
        "tenant pickers: weight = 0",
        "stage shelf-east: target = old: must differ",
        "stage shelf-east: target_share_permille = 5000",
    ] {
        assert!(outcome.errors.contains(part), "{part}: {outcome:?}");
    }
    let names =
        format!("{SHOP}\n[[pools]]\nname = \"shelf\"\nkind = \"service\"\nx = 1\n[[shops]]\n");
    let outcome = invoke(server.address(), &["diff", &file("faults_names", &names)]).await;
    assert!(outcome.errors.contains("unknown field `x`"), "{outcome:?}");
    assert!(outcome.errors.contains("shops = "), "{outcome:?}");
    assert!(server.seen().is_empty());
}

#[tokio::test]
async fn applying_a_file_does_not_undo_a_drain_or_a_rollback() {
    let server = server_with_shop("keep").await;
    invoke(server.address(), &["drain", "shelf-1"]).await;
    invoke(server.address(), &["stage", "rollback", "shelf-east"]).await;
    let outcome = invoke(server.address(), &["diff", &file("keep_again", SHOP)]).await;
    assert_eq!(outcome.output, "nothing to change at version 3\n");
    let undo = invoke(server.address(), &["drain", "shelf-1", "--undo"]).await;
    assert_eq!(undo.status, ExitStatus::Success);
    let back_end = invoke(server.address(), &["get", "back-end", "shelf-1", "--json"]).await;
    assert_eq!(json(&back_end)["state"], "active");
}

#[tokio::test]
async fn a_stage_is_started_set_paused_and_resumed() {
    let server = server_with_shop("stage").await;
    let start = "stage start verdict-west --pool shelf --from old --to new --share 1000 --step 100 --hold-seconds 60 --max-error-permille 5";
    let commands = [
        start,
        "stage set verdict-west --share 300 --min-hit-rate-permille 800",
        "stage pause verdict-west",
        "stage resume verdict-west",
        "stage pause verdict-west",
    ];
    for command in commands {
        let words: Vec<&str> = command.split(' ').collect();
        let outcome = invoke(server.address(), &words).await;
        assert_eq!(
            outcome.status,
            ExitStatus::Success,
            "{command}: {outcome:?}"
        );
    }
    let stage = json(
        &invoke(
            server.address(),
            &["get", "stage", "verdict-west", "--json"],
        )
        .await,
    );
    assert_eq!(stage["target_share_permille"], 300);
    assert_eq!(stage["step_permille"], 100);
    assert_eq!(stage["rollback_rule"]["max_error_permille"], 5);
    assert_eq!(stage["rollback_rule"]["min_hit_rate_permille"], 800);
    assert_eq!(stage["state"], "paused");
    let words: Vec<&str> = start.split(' ').collect();
    let again = invoke(server.address(), &words).await;
    assert_eq!(again.status, ExitStatus::Conflict, "{again:?}");
}

#[tokio::test]
async fn progress_tells_how_far_stages_and_new_weights_have_come() {
    let server = server_with_shop("progress").await;
    invoke(
        server.address(),
        &["stage", "set", "shelf-east", "--step", "50"],
    )
    .await;
    server.change(|catalog| {
        let progress = StageProgress {
            stage: "shelf-east".into(),
            share_permille: 150,
            finished: false,
            note: "held".to_owned(),
            version: ResourceVersion(3),
        };
        let rollout = WeightsRollout {
            pool: "shelf".into(),
            from: WeightsVersion(2),
            share_permille: 300,
            version: ResourceVersion(3),
        };
        catalog
            .stage_progress
            .insert(progress.stage.clone(), progress);
        catalog.rollouts.insert(rollout.pool.clone(), rollout);
    });
    let outcome = invoke(server.address(), &["progress", "--json"]).await;
    let progress = json(&outcome);
    assert_eq!(progress["stages"][0]["share_permille"], 150);
    assert_eq!(progress["stages"][0]["target_share_permille"], 500);
    assert_eq!(progress["rollouts"][0]["to_weights_version"], 3);
    let shown = invoke(server.address(), &["progress"]).await;
    assert!(shown.output.contains("held"), "{shown:?}");
}

#[tokio::test]
async fn status_waits_until_every_live_node_has_the_version() {
    let server = server_with_shop("status").await;
    server.lags(&[1, 1, 0]);
    let outcome = invoke(server.address(), &["status", "--wait", "--json"]).await;
    assert_eq!(outcome.status, ExitStatus::Success, "{outcome:?}");
    assert!(outcome.errors.contains("version 1 in force on 2 nodes"));
    assert_eq!(json(&outcome)["nodes"][2]["state"], "failed");
    let waiting = [
        "status",
        "--wait",
        "--config-version",
        "9",
        "--timeout-seconds",
        "1",
    ];
    let outcome = invoke(server.address(), &waiting).await;
    assert_eq!(outcome.status, ExitStatus::TimedOut);
    assert!(
        outcome
            .errors
            .contains("version 9 not yet in force on n1, n2")
    );
}

#[tokio::test]
async fn delete_needs_the_version_that_is_in_force() {
    let server = server_with_shop("delete").await;
    let stale = ["delete", "tenant", "pickers", "--expected-version", "7"];
    let outcome = invoke(server.address(), &stale).await;
    assert_eq!(outcome.status, ExitStatus::Conflict);
    let outcome = invoke(server.address(), &["delete", "tenants", "pickers"]).await;
    assert_eq!(outcome.status, ExitStatus::Success, "{outcome:?}");
    let outcome = invoke(server.address(), &["get", "tenant", "pickers"]).await;
    assert_eq!(outcome.status, ExitStatus::NotFound);
}

#[tokio::test]
async fn top_prints_plain_lines_unless_on_a_terminal() {
    let server = server_with_shop("top").await;
    let command = ["top", "--count", "2", "--interval-ms", "1"];
    let plain = invoke(server.address(), &command).await;
    assert!(!plain.output.contains('\x1b'));
    assert_eq!(plain.output.matches("queue_full").count(), 2);
    assert!(plain.output.contains("0.875"), "{plain:?}");
    let live = invoke_with(server.address(), &command, true).await;
    assert_eq!(live.output.matches('\x1b').count(), 4);
    let picture = invoke(server.address(), &["top", "--count", "1", "--json"]).await;
    assert_eq!(json(&picture)["pools"][0]["first_token_p99_ms"], 41.25);
}

#[tokio::test]
async fn explain_watch_and_reload_tell_what_the_node_says() {
    let server = server_with_shop("explain").await;
    let explained = invoke(server.address(), &["explain", "r1"]).await;
    assert!(explained.output.contains("shelf-2"), "{explained:?}");
    let forgotten = invoke(server.address(), &["explain", "r2"]).await;
    assert_eq!(forgotten.status, ExitStatus::NotFound);
    let watched = invoke(server.address(), &["watch", "--after", "0"]).await;
    assert!(
        watched.output.starts_with("version 1 by ada"),
        "{watched:?}"
    );
    let reloaded = invoke(server.address(), &["reload"]).await;
    assert!(reloaded.output.contains("in force: log.level"));
    assert!(reloaded.output.contains("need a restart: zone"));
}

#[tokio::test]
async fn the_first_server_that_answers_is_used_and_shown_the_key() {
    let server = server_with_shop("servers").await;
    // Nothing listens on port 1.
    let servers = format!("127.0.0.1:1,{}", server.address());
    let key = file("operator_key", "rye-secret\n");
    let command = ["list", "tenants", "--server", &servers, "--key-file", &key];
    let outcome = invoke("127.0.0.1:1", &command).await;
    assert!(outcome.output.contains("pickers"), "{outcome:?}");
    assert_eq!(server.keys(), ["Bearer rye-secret"]);
    let outcome = invoke("127.0.0.1:1", &["list", "tenants"]).await;
    assert_eq!(outcome.status, ExitStatus::Unavailable);
}

#[parameterized(
    no_command = { &[] },
    unknown_command = { &["fly"] },
    unknown_kind = { &["list", "ships"] },
    missing_file = { &["apply"] },
    bad_server = { &["--server", "here", "status"] },
    stage_without_command = { &["stage"] },
    unknown_shell = { &["completions", "csh"] },
    half_a_certificate = { &["--certificate-file", "x", "status"] },
)]
fn a_wrong_command_line_is_told(arguments: &[&str]) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let outcome = runtime.block_on(invoke("127.0.0.1:1", arguments));
    assert_eq!(outcome.status, ExitStatus::Usage, "{outcome:?}");
    assert!(outcome.errors.contains("ryectl --help"));
}

#[parameterized(bash = { "bash" }, zsh = { "zsh" }, fish = { "fish" })]
fn completions_know_every_command_and_its_options(shell: &str) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let outcome = runtime.block_on(invoke("127.0.0.1:1", &["completions", shell]));
    for word in [
        "apply",
        "drain",
        "explain",
        "rollback",
        "hold-seconds",
        "prune",
        "undo",
    ] {
        assert!(outcome.output.contains(word), "{word}");
    }
}

#[tokio::test]
async fn help_of_every_command_has_an_example_and_names_its_options() {
    for command in [
        "apply",
        "drain",
        "stage start",
        "status",
        "top",
        "key",
        "watch",
        "reload",
    ] {
        let words: Vec<&str> = command.split(' ').chain(["--help"]).collect();
        let outcome = invoke("127.0.0.1:1", &words).await;
        assert_eq!(outcome.status, ExitStatus::Success);
        assert!(
            outcome.output.contains(&format!("Usage: ryectl {command}")),
            "{outcome:?}"
        );
        assert!(outcome.output.contains("Example:\n  ryectl"), "{outcome:?}");
    }
    let help = invoke("127.0.0.1:1", &["--help"]).await;
    assert!(help.output.contains("Exit codes:"));
    let version = invoke("127.0.0.1:1", &["--version"]).await;
    assert_eq!(
        version.output,
        format!("ryectl {}\n", env!("CARGO_PKG_VERSION"))
    );
}

#[parameterized(
    blue_mahoe = { "examples/blue-mahoe.toml", 21 },
    callaghan = { "examples/callaghan.toml", 15 },
)]
fn an_example_can_be_applied(path: &str, back_ends: usize) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let server = ScriptedServer::start().await;
        let path = format!("{}/../../{path}", env!("CARGO_MANIFEST_DIR"));
        let outcome = invoke(server.address(), &["apply", &path]).await;
        assert_eq!(outcome.status, ExitStatus::Success, "{outcome:?}");
        let catalog = server.catalog();
        assert_eq!(catalog.back_ends.len(), back_ends);
        assert_eq!(catalog_faults(&catalog), []);
    });
}
