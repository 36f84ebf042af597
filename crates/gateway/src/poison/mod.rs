//! Requests that crash the engines that run them: digests that identify them, updates about them between nodes, and
//! their stored records.

mod crash_update;
mod poison_update;
mod read_progress;
mod record;
mod record_sync;
mod record_table;
mod run;
mod watched_runs;

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
pub use watched_runs::{Watch, WatchedRun, WatchedRuns};

/// Key of the digests of parts. The zero byte keeps them apart from those of requests, whose key is a tenant's name.
const PART_KEY: &[u8] = b"\0part";

/// Computes the digest that identifies a part of prompts for a model. `wall` is the tenant, if it shares no parts with
/// others.
pub fn part_digest(model: &str, wall: Option<&TenantName>, part: &str) -> Digest {
    let wall = wall.map_or("", TenantName::as_str);
    let fields = [model, wall, part];
    digest_of(PART_KEY, &fields.map(str::as_bytes), &[])
}

/// Computes the digest that identifies a request and its retries by the caller, whose ids all differ.
///
/// The digest is a keyed cryptographic hash, so that no caller can craft a request with the digest of another's, and
/// nobody who reads the messages between nodes learns the content of a request.
pub fn digest(caller: Option<&TenantName>, host: &[u8], uri: &Uri, body: &Bytes) -> Digest {
    let key = caller.map_or("", TenantName::as_str);
    let uri = uri.to_string();
    digest_of(key.as_bytes(), &[host, uri.as_bytes()], body)
}

fn digest_of(key: &[u8], fields: &[&[u8]], rest: &[u8]) -> Digest {
    let mut hash = Hmac::<Sha256>::new_from_slice(key).expect("HMAC accepts keys of any length");
    for field in fields {
        hash.update(&(field.len() as u64).to_be_bytes());
        hash.update(field);
    }
    hash.update(rest);
    let hash = hash.finalize().into_bytes();
    let first = hash.first_chunk().expect("a SHA-256 hash has 32 bytes");
    Digest(u128::from_be_bytes(*first))
}
