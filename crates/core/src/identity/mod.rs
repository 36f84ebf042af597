//! Names and numbers that identify things, each its own type so that they cannot be mixed up.

mod macros;
mod names;
mod numbers;

pub use names::{
    AdapterName, BackEndName, ChangeId, DataCentreName, IdempotencyKey, ModelName, NodeName,
    PoolName, RegionName, RequestId, StageName, TenantName, ZoneName,
};
pub use numbers::{
    AttemptId, ConfigVersion, FencingNumber, Incarnation, ResourceVersion, WeightsVersion,
};
