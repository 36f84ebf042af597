//! One invocation of `ryectl`.

use std::time::Duration;

use ryerouter_ctl::{Environment, ExitStatus, RetryPolicy, run};

use super::SharedBuffer;

/// What an invocation printed and how it ended.
#[derive(Debug)]
pub struct Outcome {
    /// How it ended.
    pub status: ExitStatus,
    /// Results.
    pub output: String,
    /// Errors and notes.
    pub errors: String,
}

/// Runs `ryectl` with these arguments against `server`.
pub async fn invoke(server: &str, arguments: &[&str]) -> Outcome {
    invoke_with(server, arguments, false).await
}

/// Runs `ryectl`, on a terminal or not.
pub async fn invoke_with(server: &str, arguments: &[&str], terminal: bool) -> Outcome {
    let output = SharedBuffer::default();
    let errors = SharedBuffer::default();
    let mut environment = Environment {
        output: Box::new(output.clone()),
        errors: Box::new(errors.clone()),
        terminal,
        default_server: server.to_owned(),
        default_author: "ada".to_owned(),
        default_key_file: None,
        retry: RetryPolicy {
            attempts: 4,
            first_delay: Duration::from_millis(1),
            attempt_timeout: Duration::from_secs(30),
        },
    };
    let arguments: Vec<String> = arguments.iter().map(|text| (*text).to_owned()).collect();
    let status = run(&arguments, &mut environment).await;
    Outcome {
        status,
        output: output.text(),
        errors: errors.text(),
    }
}
