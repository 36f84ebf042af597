//! TLS for callers, peers and operators: certificates and keys from files, replaced without a
//! restart.
//!
//! A connection keeps the certificate it was opened with; connections opened after a reload use the
//! new one. Key material is held by the library alone and never formatted or logged.

mod client_certificates;
mod client_stream;
mod client_tls;
mod handshake;
mod maybe_tls_stream;
mod pem_files;
mod server_stream;
mod server_tls;
mod tls_error;
mod tls_paths;

pub use client_certificates::ClientCertificates;
pub use client_stream::ClientStream;
pub use client_tls::ClientTls;
pub use maybe_tls_stream::MaybeTlsStream;
pub use server_stream::ServerStream;
pub use server_tls::ServerTls;
pub use tls_error::TlsError;
pub use tls_paths::TlsPaths;
