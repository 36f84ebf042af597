//! Stand-ins for the store, the servers and the clients, and the cases that run the project's processes before them.
//!
//! `standin CASE FOLDER` exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` in the environment it leaves the disruption out.

mod gateway;
mod http;
mod isolation;
mod json;
mod model;
mod pieces;
mod server;
mod store;
mod surplus;
mod taken_up;
mod tenants;
mod world;

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use world::Record;

/// A case that takes longer has failed to run.
const LIMIT: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = arguments.as_slice() else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
    let (case, folder) = (case.clone(), PathBuf::from(folder));
    let (sender, outcome) = std::sync::mpsc::channel();
    thread::spawn(move || {
        let _ = sender.send(run(&case, &folder, is_troubled));
    });
    match outcome.recv_timeout(LIMIT) {
        Ok(Ok(true)) => ExitCode::from(1),
        Ok(Ok(false)) => ExitCode::SUCCESS,
        Ok(Err(error)) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
        Err(_) => {
            gateway::end_all();
            eprintln!("the case did not end");
            ExitCode::from(2)
        }
    }
}

/// Runs a case; returns whether the rule was broken.
fn run(case: &str, folder: &std::path::Path, is_troubled: bool) -> io::Result<bool> {
    let record = Arc::new(Record::create(folder)?);
    record.note(&format!(
        "case {case}, {}",
        if is_troubled {
            "with the disruption"
        } else {
            "without the disruption"
        }
    ));
    let is_broken = match case {
        "surplus" => surplus::run(&record, is_troubled),
        "tenants" => tenants::run(&record, is_troubled),
        "isolation" => isolation::run(&record, is_troubled),
        "pieces" => pieces::run(&record, is_troubled),
        "taken-up" => taken_up::run(&record, is_troubled),
        _ => Err(io::Error::other("no such case")),
    }?;
    record.note(if is_broken {
        "the rule was broken"
    } else {
        "the rule held"
    });
    Ok(is_broken)
}
