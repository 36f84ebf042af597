//! Reads the settings of the process again.

use parking_lot::Mutex;
use ryerouter_settings::NodeSettings;

use crate::logging::LevelSwitch;
use crate::reload::{Loaded, ReloadError, ReloadReport, Reloader};

use super::{KeySet, ProcessError, SettingsSource};

/// Reads the settings of the process, and the files they name, again.
pub(super) struct SettingsReloader {
    pub(super) source: Option<SettingsSource>,
    /// The settings the process started with: what takes a restart is still as they say.
    pub(super) started: NodeSettings,
    /// The settings read last.
    pub(super) current: Mutex<NodeSettings>,
    pub(super) keys: KeySet,
    pub(super) level: LevelSwitch,
}

impl Reloader for SettingsReloader {
    fn reload(&self) -> Result<ReloadReport, ReloadError> {
        let mut current = self.current.lock();
        let settings = match &self.source {
            Some(source) => source.load().map_err(ReloadError::of)?,
            None => current.clone(),
        };
        // Everything is read and checked before anything is put in force.
        let loaded = self.keys.read_again(&settings).map_err(ReloadError::of)?;
        let report = self.report(&current, &settings);
        loaded.into_iter().for_each(Loaded::put_in_force);
        self.level.set(settings.log_level);
        *current = settings;
        Ok(report)
    }
}

impl SettingsReloader {
    fn report(&self, before: &NodeSettings, after: &NodeSettings) -> ReloadReport {
        let takes_restart = |path: &str| switches_check(path, &self.started, after);
        let mut report = ReloadReport::default();
        for field in after.changed_fields(before) {
            if field.reloadable && !takes_restart(field.path) {
                report.changed.push(field.path.to_owned());
            }
        }
        for field in after.changed_fields(&self.started) {
            if !field.reloadable || takes_restart(field.path) {
                report.restart_needed.push(field.path.to_owned());
            }
        }
        report
    }
}

/// Reads all files that settings name, as a start would, without using them.
pub fn check_files(settings: &NodeSettings) -> Result<(), ProcessError> {
    KeySet::load(settings).map(|_| ())
}

/// Whether a field turns a check or the TLS of a listener on or off, which takes a restart.
fn switches_check(path: &str, before: &NodeSettings, after: &NodeSettings) -> bool {
    let is_set = |settings: &NodeSettings| match path {
        "operators.keys_file" => settings.operators.keys_file.is_some(),
        "peers.key_file" => settings.peers.key_file.is_some(),
        "tls.rpc.authority_file" => {
            let files = settings.tls.rpc.as_ref();
            files.is_some_and(|files| files.authority.is_some())
        }
        path if path.starts_with("tls.callers.") => settings.tls.callers.is_some(),
        path if path.starts_with("tls.peers.") => settings.tls.peers.is_some(),
        path if path.starts_with("tls.rpc.") => settings.tls.rpc.is_some(),
        _ => false,
    };
    is_set(before) != is_set(after)
}
