//! Flags.

use gumdrop::Options;
use ryerouter_settings::SettingOverride;

use super::{CommandError, Subcommand};

/// Flags of `ryerouter`. Those of single settings win over `--set`, which wins over the file.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    pub(super) help: bool,
    #[options(short = "V", help = "print the version")]
    pub(super) version: bool,
    #[options(short = "s", help = "settings file (TOML)", meta = "FILE")]
    pub(super) settings: Option<String>,
    #[options(
        no_short,
        help = "set a field instead of the file, such as --set log.level=debug; may be repeated",
        meta = "FIELD=VALUE"
    )]
    pub(super) set: Vec<String>,
    #[options(no_short, help = "name of the node", meta = "NAME")]
    pub(super) name: Option<String>,
    #[options(no_short, help = "zone of the node", meta = "NAME")]
    pub(super) zone: Option<String>,
    #[options(no_short, help = "address for callers", meta = "IP:PORT")]
    pub(super) listen_callers: Option<String>,
    #[options(no_short, help = "address for operators", meta = "IP:PORT")]
    pub(super) listen_rpc: Option<String>,
    #[options(no_short, help = "address for other nodes", meta = "IP:PORT")]
    pub(super) listen_peers: Option<String>,
    #[options(no_short, help = "nodes to ask first", meta = "IP:PORT,...")]
    pub(super) seeds: Option<String>,
    #[options(no_short, help = "least severe log lines written", meta = "LEVEL")]
    pub(super) log_level: Option<String>,
    #[options(command)]
    pub(super) subcommand: Option<Subcommand>,
}

impl Arguments {
    /// The settings that flags override, in the order in which they are applied.
    pub(super) fn overrides(&self) -> Result<Vec<SettingOverride>, CommandError> {
        let mut overrides = Vec::new();
        for text in &self.set {
            let parsed = SettingOverride::parse(text);
            overrides.push(parsed.ok_or_else(|| CommandError::Usage {
                detail: format!("--set {text}: expected FIELD=VALUE"),
            })?);
        }
        let flags = [
            ("name", &self.name),
            ("zone", &self.zone),
            ("listen.callers", &self.listen_callers),
            ("listen.rpc", &self.listen_rpc),
            ("listen.peers", &self.listen_peers),
            ("peers.seeds", &self.seeds),
            ("log.level", &self.log_level),
        ];
        for (path, value) in flags {
            overrides.extend(
                value
                    .as_ref()
                    .map(|value| SettingOverride::new(path, value)),
            );
        }
        Ok(overrides)
    }
}
