//! Where the schema of the operator RPC and the code generated from it lie.
//!
//! The generator is a dependency of this crate's tests only, so that no build needs it. It stands
//! apart from `ryerouter-wire` so that code can be generated while `ryerouter-wire` does not yet
//! compile against a changed schema.

use std::path::{Path, PathBuf};

/// Directory of the schema files.
pub fn schema_directory() -> PathBuf {
    workspace_directory().join("proto")
}

/// The committed generated code.
pub fn generated_file() -> PathBuf {
    workspace_directory().join("crates/wire/src/generated/ryerouter.v1.rs")
}

fn workspace_directory() -> &'static Path {
    let crate_directory = Path::new(env!("CARGO_MANIFEST_DIR"));
    crate_directory
        .ancestors()
        .nth(2)
        .unwrap_or(crate_directory)
}
