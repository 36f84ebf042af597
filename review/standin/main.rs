//! Plays one case of the review: `standin CASE ROOT FOLDER`, with `TROUBLE=0` without its disruption.
//!
//! Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod caller;
mod http;
mod json;
mod lost;
mod memory;
mod process;
mod proxy;
mod record;
mod revoke;
mod store;

use std::net::TcpListener;
use std::path::PathBuf;
use std::process::ExitCode;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().collect();
    let [_, case, root, folder] = arguments.as_slice() else {
        eprintln!("usage: standin CASE ROOT FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let (root, folder) = (PathBuf::from(root), PathBuf::from(folder));
    let played = match case.as_str() {
        "lost" => lost::play(&root, &folder, has_trouble),
        "memory" => memory::play(&root, &folder, has_trouble),
        "revoke" => revoke::play(&root, &folder, has_trouble),
        _ => Err(std::io::Error::other("no such case")),
    };
    match played {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Ok(Verdict::NotRun) => ExitCode::from(2),
        Err(error) => {
            eprintln!("{case}: {error}");
            ExitCode::from(2)
        }
    }
}

/// A loopback address of this play's own, so that plays side by side do not share ports.
pub fn own_ip(last: u8) -> String {
    let id = std::process::id();
    let (high, low) = ((id >> 8) % 250 + 1, id % 250 + 1);
    format!("127.{high}.{low}.{last}")
}

/// A port that is free at all these addresses.
pub fn free_port(ips: &[String]) -> u16 {
    loop {
        let first = TcpListener::bind((ips[0].as_str(), 0)).expect("a free port");
        let port = first.local_addr().expect("its address").port();
        let is_free = |ip: &String| TcpListener::bind((ip.as_str(), port)).is_ok();
        if ips[1..].iter().all(is_free) {
            return port;
        }
    }
}
