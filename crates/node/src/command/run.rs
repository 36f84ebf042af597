//! Runs the command.

use std::path::PathBuf;

use gumdrop::{Options, ParsingStyle};
use slog::{info, o};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::logging::{LevelSwitch, logger};
use crate::process::{BoundNode, NodeProcess, SettingsSource, check_files};

use super::{Arguments, CommandError, Subcommand};

const VERSION: &str = env!("CARGO_PKG_VERSION");
const HELP_HEADER: &str = "ryerouter: router for language-model traffic with shared prompt prefixes

Usage: ryerouter --settings FILE [FLAGS]
       ryerouter check FILE

SIGTERM stops as planned: new requests are refused as not run, others are finished.
SIGHUP reads settings, certificates and keys again.
Exit codes: 0 stopped as planned or settings good, 1 failed, 2 flags or settings refused.
";

/// Runs the command with these arguments, without the program's name.
pub fn run(arguments: &[String]) -> Result<(), CommandError> {
    let arguments =
        Arguments::parse_args(arguments, ParsingStyle::AllOptions).map_err(|error| {
            CommandError::Usage {
                detail: error.to_string(),
            }
        })?;
    if arguments.version {
        println!("ryerouter {VERSION}");
        return Ok(());
    }
    if arguments.help_requested() {
        println!("{HELP_HEADER}\n{}", Arguments::usage());
        println!("\nCommands:\n{}", Subcommand::usage());
        return Ok(());
    }
    match &arguments.subcommand {
        Some(Subcommand::Check(check)) => check_settings(check.file.as_deref()),
        None => serve(&arguments),
    }
}

fn check_settings(file: Option<&str>) -> Result<(), CommandError> {
    let file = file.ok_or_else(|| CommandError::Usage {
        detail: "check: expected a settings file".to_owned(),
    })?;
    let source = SettingsSource {
        path: PathBuf::from(file),
        overrides: Vec::new(),
    };
    check_files(&source.load()?)?;
    println!("{file}: good");
    Ok(())
}

fn serve(arguments: &Arguments) -> Result<(), CommandError> {
    let path = arguments
        .settings
        .as_ref()
        .ok_or_else(|| CommandError::Usage {
            detail: "expected --settings FILE".to_owned(),
        })?;
    let source = SettingsSource {
        path: PathBuf::from(path),
        overrides: arguments.overrides()?,
    };
    let settings = source.load()?;
    let level = LevelSwitch::new(settings.log_level);
    let logger = logger(std::io::stderr(), &level).new(o!());
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        // Signals that come while the process starts must not end it.
        let mut signals = Signals::new()?;
        let bound = BoundNode::bind(settings, Some(source), logger.clone(), level)?;
        let node = bound.start()?;
        info!(logger, "node_started"; "version" => VERSION,
            "callers" => %node.caller_address(), "rpc" => %node.rpc_address(),
            "peers" => %node.peer_address());
        let outcome = signals.follow(&node).await;
        node.stop().await;
        outcome
    })
}

/// The signals that the process answers to.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl Signals {
    fn new() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }

    /// Reloads on each SIGHUP; returns when the process must stop.
    async fn follow(&mut self, node: &NodeProcess) -> Result<(), CommandError> {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return Ok(()),
                _ = self.interrupt.recv() => return Ok(()),
                () = node.control_lost() => return Err(CommandError::ControlLost),
                _ = self.hang_up.recv() => {
                    // The outcome is logged; a refused reload leaves the former settings in force.
                    let _ = node.reload();
                }
            }
        }
    }
}
