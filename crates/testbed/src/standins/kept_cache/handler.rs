//! Answers the calls of the KV store: `GET` and `PUT` of `/kv/{hash}`. The engine's model charges
//! the time of a transfer, so the store answers at once.

use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use parking_lot::Mutex;

use super::KeptPrefix;
use crate::standins::http::{Handler, Reply, empty, json as json_reply};

/// Prefixes kept; the oldest leaves first.
const CAPACITY: usize = 100_000;

/// Answers the calls of the KV store.
#[derive(Debug, Default)]
pub struct KvStoreHandler {
    down: AtomicBool,
    reads: AtomicU64,
    kept: Mutex<Kept>,
}

#[derive(Debug, Default)]
struct Kept {
    prefixes: BTreeMap<String, KeptPrefix>,
    order: VecDeque<String>,
}

impl Kept {
    fn insert(&mut self, hash: &str, prefix: KeptPrefix) {
        let older = self.prefixes.insert(hash.to_owned(), prefix);
        if older.is_none() {
            self.order.push_back(hash.to_owned());
        }
        if self.order.len() > CAPACITY
            && let Some(oldest) = self.order.pop_front()
        {
            self.prefixes.remove(&oldest);
        }
    }
}

impl KvStoreHandler {
    /// Prefixes kept.
    pub fn prefixes(&self) -> usize {
        self.kept.lock().prefixes.len()
    }

    /// Reads that found a prefix.
    pub fn reads(&self) -> u64 {
        self.reads.load(Ordering::Relaxed)
    }

    /// Whether the store answers at all.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::Relaxed);
    }

    fn read(&self, hash: &str) -> Reply {
        let Some(prefix) = self.kept.lock().prefixes.get(hash).cloned() else {
            return empty(StatusCode::NOT_FOUND);
        };
        self.reads.fetch_add(1, Ordering::Relaxed);
        json_reply(StatusCode::OK, &prefix)
    }

    async fn write(&self, hash: &str, body: Incoming) -> Option<Reply> {
        let body = body.collect().await.ok()?.to_bytes();
        let Ok(prefix) = serde_json::from_slice::<KeptPrefix>(&body) else {
            return Some(empty(StatusCode::BAD_REQUEST));
        };
        self.kept.lock().insert(hash, prefix);
        Some(empty(StatusCode::OK))
    }
}

impl Handler for KvStoreHandler {
    async fn handle(&self, request: Request<Incoming>) -> Option<Reply> {
        if self.down.load(Ordering::Relaxed) {
            return None;
        }
        let path = request.uri().path().to_owned();
        let Some(hash) = path.strip_prefix("/kv/") else {
            return Some(empty(StatusCode::NOT_FOUND));
        };
        match *request.method() {
            Method::GET => Some(self.read(hash)),
            Method::PUT => self.write(hash, request.into_body()).await,
            _ => Some(empty(StatusCode::METHOD_NOT_ALLOWED)),
        }
    }
}
