//! The router process.

use std::process::ExitCode;

use ryerouter_node::command;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match command::run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ryerouter: {error}");
            error.exit_code()
        }
    }
}
