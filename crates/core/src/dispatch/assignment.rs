//! An attempt to start.

use std::net::SocketAddr;

use crate::identity::{
    AttemptId, BackEndName, DataCentreName, Incarnation, WeightsVersion, ZoneName,
};

use super::{KvExport, KvImport, ResumePoint};

/// An attempt to start, with everything needed to send it to its back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// Id of the attempt, which the back end must echo.
    pub attempt: AttemptId,
    /// Number of the attempt within the request, from 1.
    pub number: u32,
    /// The back end.
    pub back_end: BackEndName,
    /// Address of the back end.
    pub address: SocketAddr,
    /// Data centre of the back end.
    pub data_centre: DataCentreName,
    /// Zone of the back end.
    pub zone: ZoneName,
    /// Incarnation that the back end must have; `None` while none is known.
    pub incarnation: Option<Incarnation>,
    /// Weights version that the back end must serve; `None` for service pools.
    pub weights_version: Option<WeightsVersion>,
    /// Prompt tokens expected in the back end's cache.
    pub expected_cached_tokens: u32,
    /// KV cache to import before prefill.
    pub kv_import: Option<KvImport>,
    /// KV cache to export to the KV store after prefill.
    pub kv_export: Option<KvExport>,
    /// Where to resume an interrupted stream.
    pub resume: Option<ResumePoint>,
}
