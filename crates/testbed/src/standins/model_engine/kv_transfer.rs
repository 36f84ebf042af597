//! Import and export of KV cache over the network.

use bytes::Bytes;
use hyper::{Method, StatusCode};

use super::request_head::KvReference;
use crate::engine_model::ImportedPrefix;
use crate::standins::http::HttpClient;
use crate::standins::kept_cache::KeptPrefix;

/// Fetches a prefix; `None`, which means recomputation, when the store has none that fits.
pub async fn import(
    client: &HttpClient,
    reference: KvReference,
    tenant: &str,
    weights_version: u64,
) -> Option<ImportedPrefix> {
    let path = path(reference);
    let call = client.call(Method::GET, reference.store, &path, Bytes::new());
    let (status, body) = call.await.ok()?;
    if status != StatusCode::OK {
        return None;
    }
    let kept: KeptPrefix = serde_json::from_slice(&body).ok()?;
    let fits = kept.tenant == tenant && kept.weights_version == weights_version;
    fits.then_some(ImportedPrefix {
        prefix: reference.prefix,
        tokens: kept.tokens,
    })
}

/// Keeps a prefix. One that cannot be kept is lost, which costs recomputation later.
pub async fn export(client: HttpClient, reference: KvReference, kept: KeptPrefix) {
    let body = serde_json::to_vec(&kept).expect("a kept prefix is plain data");
    let path = path(reference);
    let _ = client
        .call(Method::PUT, reference.store, &path, Bytes::from(body))
        .await;
}

fn path(reference: KvReference) -> String {
    format!("/kv/{}", reference.prefix)
}
