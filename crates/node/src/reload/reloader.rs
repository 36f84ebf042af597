//! Who reads settings and keys again.

use super::{ReloadError, ReloadReport};

/// Reads settings and keys again, on SIGHUP or when an operator asks for it.
pub trait Reloader: Send + Sync + 'static {
    /// Reads all files, checks all of them, and only then puts what may change in force.
    fn reload(&self) -> Result<ReloadReport, ReloadError>;
}

/// Of a process that was started without files.
#[derive(Debug, Clone, Copy, Default)]
pub struct NothingToReload;

impl Reloader for NothingToReload {
    fn reload(&self) -> Result<ReloadReport, ReloadError> {
        Ok(ReloadReport::default())
    }
}
