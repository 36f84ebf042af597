//! `ryectl key`.

use std::io::Read;

use serde::Serialize;
use sha2::{Digest, Sha256};

use crate::ExitStatus;
use crate::arguments::KeyArguments;
use crate::ctl_error::CtlError;

use super::Context;

const KEY_PREFIX: &str = "rye-";
const KEY_BYTES: usize = 32;

/// A key, as JSON.
#[derive(Serialize)]
struct KeyView {
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<String>,
    sha256: String,
}

/// Makes an API key, or hashes the one on standard input.
pub fn key(arguments: &KeyArguments, context: &mut Context<'_>) -> Result<ExitStatus, CtlError> {
    let (key, shown) = match arguments.hash {
        true => (read_key()?, false),
        false => (fresh_key(), true),
    };
    let hash = hex::encode(Sha256::digest(key.as_bytes()));
    let printer = &mut context.printer;
    if printer.json() {
        printer.value(&KeyView {
            key: shown.then_some(key),
            sha256: hash,
        })?;
        return Ok(ExitStatus::Success);
    }
    if shown {
        printer.line(&format!("key (shown only now): {key}"))?;
    }
    printer.line(&format!("sha256 (for the configuration): {hash}"))?;
    Ok(ExitStatus::Success)
}

fn fresh_key() -> String {
    let bytes: [u8; KEY_BYTES] = rand::random();
    format!("{KEY_PREFIX}{}", hex::encode(bytes))
}

fn read_key() -> Result<String, CtlError> {
    let mut text = String::new();
    let read = std::io::stdin().read_to_string(&mut text);
    read.map_err(|source| CtlError::Unreadable {
        path: "standard input".to_owned(),
        source,
    })?;
    let key = text.trim();
    if key.is_empty() {
        return Err(CtlError::usage("no key on standard input"));
    }
    Ok(key.to_owned())
}
