//! What surrounds an invocation.

use std::io::{self, IsTerminal, Write};

use super::RetryPolicy;

const SERVER_VARIABLE: &str = "RYECTL_SERVER";
const KEY_FILE_VARIABLE: &str = "RYECTL_KEY_FILE";
const DEFAULT_SERVER: &str = "127.0.0.1:8081";

/// What surrounds an invocation: streams, defaults and waits.
pub struct Environment {
    /// Results go here.
    pub output: Box<dyn Write + Send>,
    /// Errors and progress go here.
    pub errors: Box<dyn Write + Send>,
    /// Whether `output` is a terminal.
    pub terminal: bool,
    /// Servers to use when the command line names none.
    pub default_server: String,
    /// Author of changes when the command line names none.
    pub default_author: String,
    /// File with the operator's key when the command line names none.
    pub default_key_file: Option<String>,
    /// How lost answers are asked for again.
    pub retry: RetryPolicy,
}

impl Environment {
    /// The environment of this process.
    pub fn of_process() -> Self {
        let variable = |name: &str| std::env::var(name).ok().filter(|text| !text.is_empty());
        Self {
            output: Box::new(io::stdout()),
            errors: Box::new(io::stderr()),
            terminal: io::stdout().is_terminal(),
            default_server: variable(SERVER_VARIABLE).unwrap_or(DEFAULT_SERVER.to_owned()),
            default_author: variable("USER").unwrap_or("unknown".to_owned()),
            default_key_file: variable(KEY_FILE_VARIABLE),
            retry: RetryPolicy::default(),
        }
    }
}
