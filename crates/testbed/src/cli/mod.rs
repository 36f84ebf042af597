//! Command line of `ryebench`: one file a command.

mod arguments;
mod cluster_arguments;
mod command;
mod command_error;
mod compare_command;
mod demo_command;
mod faults_command;
mod limits_command;
mod overhead_command;
mod standins_command;
mod stop_signal;
mod up_command;

use std::process::ExitCode;

use gumdrop::Options;

use arguments::Arguments;
pub use command::Command;
pub use command_error::CommandError;

/// Exit code of a command line that cannot be understood.
const EXIT_USAGE: u8 = 2;

/// Parses the command line of the process, runs the command and gives the exit code: 0 when every
/// promise was kept, 1 when one was broken or the run failed, 2 for a faulty command line.
pub fn run() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    match Arguments::parse_args_default(&words) {
        Ok(arguments) => run_arguments(arguments),
        Err(error) => {
            eprintln!("ryebench: {error}; see ryebench --help");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn run_arguments(arguments: Arguments) -> ExitCode {
    if arguments.version {
        println!("ryebench {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    if arguments.help_requested() {
        print_help(&arguments);
        return ExitCode::SUCCESS;
    }
    let Some(command) = arguments.command else {
        eprintln!("ryebench: no command given; see ryebench --help");
        return ExitCode::from(EXIT_USAGE);
    };
    match command.run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ryebench: {error}");
            ExitCode::FAILURE
        }
    }
}

fn print_help(arguments: &Arguments) {
    match arguments.command_name() {
        Some(name) => {
            println!("Usage: ryebench {name} [OPTIONS]\n");
            println!("{}", arguments.self_usage());
        }
        None => {
            println!("Usage: ryebench [OPTIONS] COMMAND [OPTIONS]\n");
            println!("{}\n", Arguments::usage());
            println!("Commands:\n{}", Command::usage());
        }
    }
}
