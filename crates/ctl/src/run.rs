//! One invocation.

use std::io::Write;
use std::time::Duration;

use gumdrop::{Options, ParsingStyle};

use super::arguments::{Command, GlobalArguments, command_help, global_help, hoist_global_options};
use super::client::{OperatorKey, RpcClient, TlsFiles};
use super::commands::{self, Context};
use super::ctl_error::CtlError;
use super::output::Printer;
use super::{Environment, ExitStatus};

const VERSION: &str = env!("CARGO_PKG_VERSION");

/// Carries out the command line `arguments`, without the program's name.
pub async fn run(arguments: &[String], environment: &mut Environment) -> ExitStatus {
    let result = run_arguments(arguments, environment).await;
    let _ = environment.output.flush();
    match result {
        Ok(status) => status,
        Err(error) if error.is_broken_pipe() => ExitStatus::Success,
        Err(error) => {
            let _ = writeln!(environment.errors, "ryectl: {error}");
            if matches!(error, CtlError::Usage { .. }) {
                let _ = writeln!(environment.errors, "Try: ryectl --help");
            }
            error.exit_status()
        }
    }
}

async fn run_arguments(
    arguments: &[String],
    environment: &mut Environment,
) -> Result<ExitStatus, CtlError> {
    let arguments = hoist_global_options(arguments);
    let parsed = GlobalArguments::parse_args(&arguments, ParsingStyle::AllOptions);
    let parsed = parsed.map_err(|error| CtlError::usage(error.to_string()))?;
    let mut printer = Printer::new(environment, parsed.json);
    if parsed.version {
        printer.line(&format!("ryectl {VERSION}"))?;
        return Ok(ExitStatus::Success);
    }
    if parsed.help_requested() {
        return print_help(&parsed, &mut printer);
    }
    let Some(command) = parsed.command.clone() else {
        return Err(CtlError::usage("a command is needed"));
    };
    run_command(command, &parsed, environment).await
}

fn print_help(
    arguments: &GlobalArguments,
    printer: &mut Printer<'_>,
) -> Result<ExitStatus, CtlError> {
    let text = command_path(arguments).and_then(|path| command_help(&path));
    printer.line(text.unwrap_or_else(global_help).trim_end())?;
    Ok(ExitStatus::Success)
}

/// The command as written, such as `stage start`.
fn command_path(arguments: &GlobalArguments) -> Option<String> {
    let command = arguments.command.as_ref()?;
    let name = command.command_name()?;
    if let Command::Stage(stage) = command
        && let Some(inner) = stage.command.as_ref().and_then(Options::command_name)
    {
        return Some(format!("{name} {inner}"));
    }
    Some(name.to_owned())
}

async fn run_command(
    command: Command,
    arguments: &GlobalArguments,
    environment: &mut Environment,
) -> Result<ExitStatus, CtlError> {
    let servers = arguments
        .server
        .as_ref()
        .unwrap_or(&environment.default_server);
    let timeout = Duration::from_secs(arguments.timeout_seconds);
    let tls = TlsFiles::read(arguments)?;
    let key_file = arguments
        .key_file
        .as_ref()
        .or(environment.default_key_file.as_ref());
    let key = key_file.map(|path| OperatorKey::read(path)).transpose()?;
    let client = RpcClient::new(servers, tls, key, environment.retry, timeout)?;
    let author = arguments
        .author
        .as_ref()
        .unwrap_or(&environment.default_author);
    let author = author.clone();
    let mut context = Context {
        client,
        author,
        printer: Printer::new(environment, arguments.json),
    };
    match command {
        Command::Apply(arguments) => commands::apply(&arguments, &mut context).await,
        Command::Diff(arguments) => commands::diff(&arguments, &mut context).await,
        Command::Get(arguments) => commands::get(&arguments, &mut context).await,
        Command::List(arguments) => commands::list(&arguments, &mut context).await,
        Command::Delete(arguments) => commands::delete(&arguments, &mut context).await,
        Command::Drain(arguments) => commands::drain(&arguments, &mut context).await,
        Command::Stage(arguments) => commands::stage(&arguments, &mut context).await,
        Command::Progress(_) => commands::progress(&mut context).await,
        Command::Status(arguments) => commands::status(&arguments, &mut context).await,
        Command::Explain(arguments) => commands::explain(&arguments, &mut context).await,
        Command::Top(arguments) => commands::top(&arguments, &mut context).await,
        Command::Watch(arguments) => commands::watch(&arguments, &mut context).await,
        Command::Reload(_) => commands::reload(&mut context).await,
        Command::Key(arguments) => commands::key(&arguments, &mut context),
        Command::Completions(arguments) => commands::completions(&arguments, &mut context),
    }
}
