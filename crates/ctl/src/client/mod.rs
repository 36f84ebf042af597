//! Calls to the operator RPC.

mod attempt_failure;
mod retry_policy;
mod rpc_client;
mod tls_files;

pub use retry_policy::RetryPolicy;
pub use rpc_client::RpcClient;
pub use tls_files::TlsFiles;
