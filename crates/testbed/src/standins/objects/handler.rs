//! Answers the calls of the object API.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use futures_util::StreamExt;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{IF_MATCH, IF_NONE_MATCH};
use hyper::{HeaderMap, Method, Request, StatusCode};
use parking_lot::{Mutex, MutexGuard};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio::sync::watch;

use super::watch_stream::watch_stream;
use super::{ObjectApiFaults, ObjectStore, WriteCondition};
use crate::standins::http::{
    Handler, Reply, body_from_stream, empty, json as json_reply, query_value, text,
};

/// Watches that the API bears at once when faults say nothing else.
const USUAL_MAX_WATCHES: usize = 32;

const OBJECTS: &str = "/objects";

/// A write and what it asks for.
enum Write {
    Put(Value),
    Delete,
}

/// Answers the calls of the object API.
#[derive(Debug)]
pub struct ObjectApiHandler {
    shared: Arc<Shared>,
}

/// A watch that counts against the limit while it lives.
#[derive(Debug)]
pub struct WatchPermit {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    store: Mutex<ObjectStore>,
    /// What lists answer while they are stale.
    stale: Mutex<Option<ObjectStore>>,
    faults: Mutex<ObjectApiFaults>,
    random: Mutex<ChaCha8Rng>,
    /// Counts changes of store and faults, to wake watches and frozen requests.
    signal: watch::Sender<u64>,
    watches: AtomicUsize,
    lost_answers: AtomicU64,
    requests: AtomicU64,
}

impl ObjectApiHandler {
    /// A handler with an empty store.
    pub fn new(seed: u64) -> Self {
        let shared = Shared {
            store: Mutex::default(),
            stale: Mutex::default(),
            faults: Mutex::default(),
            random: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
            signal: watch::Sender::new(0),
            watches: AtomicUsize::new(0),
            lost_answers: AtomicU64::new(0),
            requests: AtomicU64::new(0),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Sets how the API misbehaves.
    pub fn set_faults(&self, faults: ObjectApiFaults) {
        let copy = faults.stale_lists.then(|| self.store().clone());
        let mut stale = self.shared.stale.lock();
        *stale = match (stale.take(), copy) {
            (Some(older), Some(_)) => Some(older),
            (_, copy) => copy,
        };
        drop(stale);
        *self.shared.faults.lock() = faults;
        self.wake();
    }

    /// How the API misbehaves.
    pub fn faults(&self) -> ObjectApiFaults {
        self.shared.faults.lock().clone()
    }

    /// Contents of the API.
    pub fn store(&self) -> MutexGuard<'_, ObjectStore> {
        self.shared.store.lock()
    }

    /// Watches open now.
    pub fn watches(&self) -> usize {
        self.shared.watches.load(Ordering::Relaxed)
    }

    /// Writes that took effect and were not answered.
    pub fn lost_answers(&self) -> u64 {
        self.shared.lost_answers.load(Ordering::Relaxed)
    }

    /// Requests taken so far.
    pub fn requests(&self) -> u64 {
        self.shared.requests.load(Ordering::Relaxed)
    }

    /// Tells of every change of store and faults.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.shared.signal.subscribe()
    }

    fn wake(&self) {
        self.shared.signal.send_modify(|count| *count += 1);
    }

    async fn thawed(&self) {
        let mut signal = self.subscribe();
        while self.faults().frozen {
            if signal.changed().await.is_err() {
                return;
            }
        }
    }

    fn get(&self, key: &str) -> Reply {
        match self.store().get(key) {
            Some(object) => json_reply(StatusCode::OK, object),
            None => empty(StatusCode::NOT_FOUND),
        }
    }

    fn list(&self, prefix: &str) -> Reply {
        let stale = self.shared.stale.lock();
        let (revision, objects) = match stale.as_ref() {
            Some(store) => (store.revision(), store.list(prefix)),
            None => {
                let store = self.store();
                (store.revision(), store.list(prefix))
            }
        };
        let body = json!({"revision": revision, "objects": objects});
        json_reply(StatusCode::OK, &body)
    }

    fn watch(&self, query: Option<&str>) -> Reply {
        let prefix = query_value(query, "prefix").unwrap_or_default();
        let from = query_value(query, "from").unwrap_or_default();
        let Ok(from) = from.parse::<u64>() else {
            return text(StatusCode::BAD_REQUEST, "from: not a revision\n");
        };
        if self.store().changes_from(from, &prefix).is_none() {
            return empty(StatusCode::GONE);
        }
        let Some(permit) = self.permit() else {
            return empty(StatusCode::TOO_MANY_REQUESTS);
        };
        let handler = Arc::new(Self {
            shared: Arc::clone(&self.shared),
        });
        let body = body_from_stream(watch_stream(handler, permit, prefix, from).map(Ok));
        Reply::new(body)
    }

    fn permit(&self) -> Option<WatchPermit> {
        let limit = self.faults().max_watches.unwrap_or(USUAL_MAX_WATCHES);
        let grow = |open: usize| (open < limit).then_some(open + 1);
        let counter = &self.shared.watches;
        counter
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, grow)
            .ok()?;
        Some(WatchPermit {
            shared: Arc::clone(&self.shared),
        })
    }

    fn write(&self, key: &str, write: Write, condition: WriteCondition) -> Reply {
        let mut store = self.store();
        let reply = match write {
            Write::Put(value) => match store.put(key, value, condition) {
                Ok(version) => json_reply(StatusCode::OK, &json!({"version": version})),
                Err(conflict) => json_reply(StatusCode::CONFLICT, &conflict),
            },
            Write::Delete => match store.delete(key, condition) {
                Ok(true) => json_reply(StatusCode::OK, &json!({})),
                Ok(false) => empty(StatusCode::NOT_FOUND),
                Err(conflict) => json_reply(StatusCode::CONFLICT, &conflict),
            },
        };
        drop(store);
        self.wake();
        reply
    }

    /// Whether the answer to this write gets lost.
    fn loses_answer(&self) -> bool {
        let permille = self.shared.faults.lock().lost_answers_permille;
        let lost = self.shared.random.lock().random_range(0..1_000) < permille;
        if lost {
            self.shared.lost_answers.fetch_add(1, Ordering::Relaxed);
        }
        lost
    }

    async fn write_call(&self, key: &str, request: Request<Incoming>) -> Option<Reply> {
        let condition = match condition(request.headers()) {
            Ok(condition) => condition,
            Err(reason) => return Some(text(StatusCode::BAD_REQUEST, reason)),
        };
        let write = if request.method() == Method::DELETE {
            Write::Delete
        } else {
            let body = request.into_body().collect().await.ok()?.to_bytes();
            match serde_json::from_slice(&body) {
                Ok(value) => Write::Put(value),
                Err(_) => return Some(text(StatusCode::BAD_REQUEST, "body: not JSON\n")),
            }
        };
        let reply = self.write(key, write, condition);
        (!self.loses_answer()).then_some(reply)
    }
}

impl Handler for ObjectApiHandler {
    async fn handle(&self, request: Request<Incoming>) -> Option<Reply> {
        self.shared.requests.fetch_add(1, Ordering::Relaxed);
        let faults = self.faults();
        if faults.down {
            return None;
        }
        self.thawed().await;
        tokio::time::sleep(faults.delay).await;
        if self.faults().down {
            return None;
        }
        let path = request.uri().path().to_owned();
        let key = path
            .strip_prefix(OBJECTS)
            .map(|rest| rest.trim_start_matches('/'));
        let query = request.uri().query();
        match (request.method(), path.as_str(), key) {
            (&Method::GET, "/watch", _) => Some(self.watch(query)),
            (&Method::GET, OBJECTS, _) => {
                Some(self.list(&query_value(query, "prefix").unwrap_or_default()))
            }
            (&Method::GET, _, Some(key)) => Some(self.get(key)),
            (&Method::PUT | &Method::DELETE, _, Some(key)) if !key.is_empty() => {
                self.write_call(key, request).await
            }
            _ => Some(empty(StatusCode::NOT_FOUND)),
        }
    }
}

impl Drop for WatchPermit {
    fn drop(&mut self) {
        self.shared.watches.fetch_sub(1, Ordering::Relaxed);
    }
}

fn condition(headers: &HeaderMap) -> Result<WriteCondition, &'static str> {
    if headers.contains_key(IF_NONE_MATCH) {
        return Ok(WriteCondition::Absent);
    }
    let Some(version) = headers.get(IF_MATCH) else {
        return Ok(WriteCondition::Always);
    };
    let version = version.to_str().ok().map(|text| text.trim_matches('"'));
    version
        .and_then(|text| text.parse().ok())
        .map(WriteCondition::Version)
        .ok_or("if-match: not a version\n")
}
