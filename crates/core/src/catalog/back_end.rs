//! A back end.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::BackEndState;
use crate::identity::{BackEndName, DataCentreName, PoolName, ResourceVersion, ZoneName};

/// One engine or plain service process that serves a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackEnd {
    /// Its name, unique among back ends.
    pub name: BackEndName,
    /// The pool it serves.
    pub pool: PoolName,
    /// Where it listens.
    pub address: SocketAddr,
    /// The data centre it stands in.
    pub data_centre: DataCentreName,
    /// The zone it stands in.
    pub zone: ZoneName,
    /// What operators want of it.
    #[serde(default)]
    pub state: BackEndState,
    /// Version of the configuration that last changed it.
    #[serde(default)]
    pub version: ResourceVersion,
}
