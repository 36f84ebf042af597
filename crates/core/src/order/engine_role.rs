//! Role of an engine.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// What an engine is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// It takes work.
    #[display("serving")]
    Serving,
    /// It finishes its work and takes no new.
    #[display("draining")]
    Draining,
    /// It is kept ready and takes no work.
    #[display("standby")]
    Standby,
}
