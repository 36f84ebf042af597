//! The operator RPC, served by every node.
//!
//! A change is accepted once it is written to the object API, whichever node was asked. Operators
//! show a key; its role says what they may do.

mod configuration_service;
mod operations_service;
mod operator;
mod operator_access;
mod operator_key;
mod operator_keys_file;
mod operator_role;
mod resource_services;
mod rpc_connection;
mod rpc_context;
mod rpc_server;
mod traffic_insight;

pub use operator::Operator;
pub use operator_access::OperatorAccess;
pub use operator_key::OperatorKey;
pub use operator_keys_file::{OperatorKeysError, read_operator_keys};
pub use operator_role::OperatorRole;
pub use rpc_context::RpcContext;
pub use rpc_server::RpcServer;
pub use traffic_insight::{NoTraffic, TrafficInsight};
