//! `ryebench`: stand-ins, load, experiments and reports for the router.

use std::process::ExitCode;

fn main() -> ExitCode {
    ryerouter_testbed::cli::run()
}
