//! Why an invocation failed.

use std::io;

use derive_more::{Display, Error, From};
use ryerouter_wire::rpc::{InvalidMessage, error_details};
use tonic::{Code, Status};

use super::ExitStatus;

/// Why an invocation failed.
#[derive(Debug, Display, Error, From)]
pub enum CtlError {
    /// The command line is wrong.
    #[display("{message}")]
    #[from(skip)]
    Usage {
        /// What is wrong with it.
        message: String,
    },
    /// A file cannot be read.
    #[display("{path}: {source}")]
    #[from(skip)]
    Unreadable {
        /// The file.
        path: String,
        /// Why.
        source: io::Error,
    },
    /// Input has faults.
    #[display("{} faults:{}", _0.faults.len(), fault_lines(_0))]
    Invalid(InvalidMessage),
    /// No node could be connected to.
    #[display("cannot connect to {server}: {reason}")]
    #[from(skip)]
    NoConnection {
        /// The addresses tried.
        server: String,
        /// Why the last one failed.
        reason: String,
    },
    /// A call was refused, or failed for good.
    #[display("{}", describe(_0))]
    Refused(Status),
    /// A change may have been made.
    #[display(
        "the change may or may not have been made ({reason}); repeat with --change-id {change_id}"
    )]
    #[from(skip)]
    OutcomeUnknown {
        /// Its change id.
        change_id: String,
        /// What the last try said.
        reason: String,
    },
    /// Waiting ran out of time.
    #[display("{message}")]
    #[from(skip)]
    TimedOut {
        /// What was waited for.
        message: String,
    },
    /// Output could not be written.
    #[display("cannot write output: {_0}")]
    Output(io::Error),
    /// Output could not be encoded.
    #[display("cannot encode output: {_0}")]
    Encoding(serde_json::Error),
}

impl CtlError {
    /// A wrong command line.
    pub fn usage(message: impl Into<String>) -> Self {
        Self::Usage {
            message: message.into(),
        }
    }

    /// Whether the reader of the output has left, as `head` does.
    pub fn is_broken_pipe(&self) -> bool {
        matches!(self, Self::Output(error) if error.kind() == io::ErrorKind::BrokenPipe)
    }

    /// The exit status that tells this error.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Usage { .. } => ExitStatus::Usage,
            Self::Unreadable { .. } | Self::Invalid(_) => ExitStatus::Invalid,
            Self::NoConnection { .. } => ExitStatus::Unavailable,
            Self::Refused(status) => status_of_code(status.code()),
            Self::OutcomeUnknown { .. } => ExitStatus::OutcomeUnknown,
            Self::TimedOut { .. } => ExitStatus::TimedOut,
            Self::Output(_) | Self::Encoding(_) => ExitStatus::Failed,
        }
    }
}

fn status_of_code(code: Code) -> ExitStatus {
    match code {
        Code::InvalidArgument | Code::FailedPrecondition | Code::OutOfRange => ExitStatus::Invalid,
        Code::Aborted | Code::AlreadyExists => ExitStatus::Conflict,
        Code::NotFound => ExitStatus::NotFound,
        Code::Unavailable | Code::DeadlineExceeded => ExitStatus::Unavailable,
        Code::PermissionDenied | Code::Unauthenticated => ExitStatus::Denied,
        _ => ExitStatus::Failed,
    }
}

fn fault_lines(invalid: &InvalidMessage) -> String {
    let lines = invalid.faults.iter().map(|fault| format!("\n  {fault}"));
    lines.collect()
}

fn describe(status: &Status) -> String {
    let details = error_details(status);
    if let Some(conflict) = details.conflict {
        let author = match conflict.current_author.as_str() {
            "" => "someone unknown",
            author => author,
        };
        return format!(
            "{}: expected version {}, now at version {}, changed by {author} (change {})",
            conflict.name,
            conflict.expected_version,
            conflict.current_version,
            conflict.current_change_id,
        );
    }
    let violations = details.violations.into_iter().map(Into::into).collect();
    let invalid = InvalidMessage { faults: violations };
    if invalid.faults.is_empty() {
        return format!("{}: {}", code_word(status.code()), status.message());
    }
    format!(
        "refused, {} faults:{}",
        invalid.faults.len(),
        fault_lines(&invalid)
    )
}

fn code_word(code: Code) -> String {
    // The names of the RPC layer's codes, in words.
    let name = format!("{code:?}");
    let mut words = String::new();
    for letter in name.chars() {
        if letter.is_uppercase() && !words.is_empty() {
            words.push(' ');
        }
        words.extend(letter.to_lowercase());
    }
    words
}
