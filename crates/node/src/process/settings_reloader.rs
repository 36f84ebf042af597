//! Reads the settings of the process again.

use std::path::Path;
use std::sync::Arc;

use arc_swap::ArcSwap;
use parking_lot::Mutex;
use ryerouter_settings::NodeSettings;

use crate::logging::LevelSwitch;
use crate::reload::{ReloadError, ReloadReport, Reloader};
use crate::rpc::{OperatorAccess, OperatorKeysError, read_operator_keys};

use super::{ProcessError, SettingsSource, TlsSet};

/// Reads the settings of the process, and the files they name, again.
pub(super) struct SettingsReloader {
    pub(super) source: Option<SettingsSource>,
    pub(super) current: Mutex<NodeSettings>,
    pub(super) tls: TlsSet,
    pub(super) access: Arc<ArcSwap<OperatorAccess>>,
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
        let loaded = self
            .tls
            .read_again(&settings.tls)
            .map_err(ReloadError::of)?;
        let keys_file = settings.operators.keys_file.as_deref();
        let access = read_access(keys_file).map_err(ReloadError::of)?;
        let report = self.report(&current, &settings);
        for tls in loaded {
            tls.put_in_force();
        }
        self.access.store(Arc::new(access));
        self.level.set(settings.log_level);
        *current = settings;
        Ok(report)
    }
}

impl SettingsReloader {
    fn report(&self, before: &NodeSettings, after: &NodeSettings) -> ReloadReport {
        let mut report = ReloadReport::default();
        for field in after.changed_fields(before) {
            if field.reloadable && !switches_tls(field.path, before, after) {
                report.changed.push(field.path.to_owned());
            } else {
                report.restart_needed.push(field.path.to_owned());
            }
        }
        report
    }
}

/// Who may call the operator RPC: the keys of the file, or everybody when there is none.
pub(super) fn read_access(keys_file: Option<&Path>) -> Result<OperatorAccess, OperatorKeysError> {
    match keys_file {
        Some(path) => read_operator_keys(path).map(OperatorAccess::Keys),
        None => Ok(OperatorAccess::Open),
    }
}

/// Reads all files that settings name, as a start would, without using them.
pub fn check_files(settings: &NodeSettings) -> Result<(), ProcessError> {
    TlsSet::load(&settings.tls)?;
    read_access(settings.operators.keys_file.as_deref())?;
    Ok(())
}

/// Whether a field turns TLS of its listener on or off, which takes a restart.
fn switches_tls(path: &str, before: &NodeSettings, after: &NodeSettings) -> bool {
    let (before, after) = (&before.tls, &after.tls);
    if path.starts_with("tls.callers.") {
        before.callers.is_some() != after.callers.is_some()
    } else if path.starts_with("tls.peers.") {
        before.peers.is_some() != after.peers.is_some()
    } else if path.starts_with("tls.rpc.authority_file") {
        has_authority(&before.rpc) != has_authority(&after.rpc)
    } else if path.starts_with("tls.rpc.") {
        before.rpc.is_some() != after.rpc.is_some()
    } else {
        false
    }
}

fn has_authority(files: &Option<ryerouter_settings::TlsFiles>) -> bool {
    files
        .as_ref()
        .is_some_and(|files| files.authority.is_some())
}
