//! Requests that end the engines that run them: what stands for one, and what nodes tell of it.

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

/// What stands for a request and its repeats, whose ids all differ.
///
/// A keyed cryptographic hash: no caller can make up a body that another's request is taken for, and nobody
/// who reads what nodes tell learns its content.
pub fn digest(caller: Option<&TenantName>, host: &[u8], uri: &Uri, body: &Bytes) -> Digest {
    let key = caller.map_or("", TenantName::as_str);
    let mut hash =
        Hmac::<Sha256>::new_from_slice(key.as_bytes()).expect("takes keys of any length");
    for part in [host, uri.to_string().as_bytes()] {
        hash.update(&(part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    hash.update(body);
    let hash = hash.finalize().into_bytes();
    let first = hash.first_chunk().expect("32 bytes");
    Digest(u128::from_be_bytes(*first))
}
