//! Checks that the committed generated code is what the schema generates.
//!
//! With `RYEROUTER_REGENERATE=1` in the environment it writes the code instead of comparing it.

use std::error::Error;
use std::fs;
use std::path::{Path, PathBuf};

use protox::prost_reflect::prost::Message;
use ryerouter_schema::{generated_file, schema_directory};

const GENERATED_NAME: &str = "ryerouter.v1.rs";
const SERIALIZE: &str = "#[derive(serde::Serialize)]";
/// Messages that `ryectl --json` prints as they are.
const PRINTED_MESSAGES: [&str; 7] = [
    "BackEndOverview",
    "ExplainAttempt",
    "ExplainCandidate",
    "ExplainResponse",
    "PoolOverview",
    "RefusalCount",
    "ReloadResponse",
];
const REGENERATE_VARIABLE: &str = "RYEROUTER_REGENERATE";

fn schema_files(schema: &Path) -> Result<Vec<PathBuf>, Box<dyn Error>> {
    let mut files = Vec::new();
    for entry in fs::read_dir(schema.join("ryerouter/v1"))? {
        files.push(entry?.path());
    }
    files.sort();
    Ok(files)
}

fn generate(output: &Path) -> Result<String, Box<dyn Error>> {
    let schema = schema_directory();
    let descriptors = protox::compile(schema_files(&schema)?, [&schema])?;
    // Encoded and decoded again, so that the generator's own descriptor type is used.
    let descriptors = Message::decode(descriptors.encode_to_vec().as_slice())?;
    fs::create_dir_all(output)?;
    let mut builder = tonic_prost_build::configure()
        .out_dir(output)
        .emit_rerun_if_changed(false);
    for message in PRINTED_MESSAGES {
        let path = format!("ryerouter.v1.{message}");
        builder = builder.message_attribute(path, SERIALIZE);
    }
    builder.compile_fds(descriptors)?;
    Ok(fs::read_to_string(output.join(GENERATED_NAME))?)
}

#[test]
fn committed_code_matches_the_schema() -> Result<(), Box<dyn Error>> {
    let committed = generated_file();
    let output = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("generated_code");
    let generated = generate(&output)?;
    if std::env::var_os(REGENERATE_VARIABLE).is_some() {
        fs::write(&committed, &generated)?;
    }
    let matches = fs::read_to_string(&committed)? == generated;
    assert!(
        matches,
        "{} does not match proto/; run `{REGENERATE_VARIABLE}=1 cargo test -p ryerouter-schema`",
        committed.display()
    );
    Ok(())
}
