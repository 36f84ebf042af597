//! Requests that crash the engines that run them: digests that identify them, updates about them between nodes, and
//! their stored records.

mod crash_update;
mod poison_update;
mod read_progress;
mod record;
mod record_sync;
mod record_table;
mod run;

use bytes::Bytes;
use hmac::{Hmac, Mac};
use hyper::Uri;
use ryerouter_core::identity::TenantName;
use ryerouter_core::poison::Digest;
use sha2::Sha256;

pub use crash_update::CrashUpdate;
pub use poison_update::PoisonUpdate;
pub use read_progress::ReadProgress;
pub use record::Record;
pub use record_sync::sync_records;
pub use record_table::RecordTable;
pub use run::Run;

/// Computes the digest that identifies a request and its retries by the caller, whose ids all differ.
///
/// The digest is a keyed cryptographic hash, so that no caller can craft a request with the digest of another's, and
/// nobody who reads the messages between nodes learns the content of a request.
pub fn digest(caller: Option<&TenantName>, host: &[u8], uri: &Uri, body: &Bytes) -> Digest {
    let key = caller.map_or("", TenantName::as_str);
    let mut hash =
        Hmac::<Sha256>::new_from_slice(key.as_bytes()).expect("HMAC accepts keys of any length");
    for part in [host, uri.to_string().as_bytes()] {
        hash.update(&(part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    hash.update(body);
    let hash = hash.finalize().into_bytes();
    let first = hash.first_chunk().expect("a SHA-256 hash has 32 bytes");
    Digest(u128::from_be_bytes(*first))
}
