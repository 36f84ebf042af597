//! An attempt to make.

use std::net::SocketAddr;

use crate::identity::{
    AttemptId, BackEndName, DataCentreName, Incarnation, WeightsVersion, ZoneName,
};

use super::{KvExport, KvImport, ResumePoint};

/// An attempt to make, with everything the engine link needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// The attempt, which the back end must echo.
    pub attempt: AttemptId,
    /// Which attempt of the request this is, from 1.
    pub number: u32,
    /// The back end.
    pub back_end: BackEndName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Its zone.
    pub zone: ZoneName,
    /// The incarnation it must have, once one is known.
    pub incarnation: Option<Incarnation>,
    /// The weights it must serve; `None` for plain services.
    pub weights_version: Option<WeightsVersion>,
    /// Prompt tokens expected in its cache.
    pub expected_cached_tokens: u32,
    /// Kept KV cache to import first.
    pub kv_import: Option<KvImport>,
    /// KV cache to keep in the KV store afterwards.
    pub kv_export: Option<KvExport>,
    /// Where a broken stream goes on.
    pub resume: Option<ResumePoint>,
}
