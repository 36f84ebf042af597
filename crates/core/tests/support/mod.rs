//! A small virtual cluster for tests of the control state: virtual time, links that can be cut one
//! way, nodes that can pause and crash, and an object API that can fail in every stated way.

#![allow(dead_code, unused_imports)]

pub mod changes;
pub mod cluster;
pub mod object_store;

pub use changes::{back_end, change, pool, put, tenant};
pub use cluster::VirtualCluster;
pub use object_store::ObjectStore;
