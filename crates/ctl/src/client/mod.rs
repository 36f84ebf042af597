//! Calls to the operator RPC.

mod attempt_failure;
mod operator_key;
mod read_file;
mod retry_policy;
mod rpc_client;
mod tls_files;

pub use operator_key::OperatorKey;
pub use read_file::read_file;
pub use retry_policy::RetryPolicy;
pub use rpc_client::RpcClient;
pub use tls_files::TlsFiles;
