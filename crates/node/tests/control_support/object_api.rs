//! A tiny object API, scripted by tests.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Channel, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, header};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::io::{DuplexStream, copy, copy_bidirectional, sink};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes under way between a connection and the server behind it.
const PIPE_BYTES: usize = 64 * 1024;

type Body = BoxBody<Bytes, Infallible>;

/// What goes wrong with calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// Connections are closed unanswered and nothing takes effect.
    Down,
    /// Calls are taken and never answered; watches go on.
    Unanswered,
    /// Writes take effect and their connections are closed unanswered.
    WriteAnswersLost,
}

#[derive(Debug, Clone)]
struct Stored {
    version: u64,
    value: Value,
}

#[derive(Debug, Default)]
struct Store {
    revision: u64,
    objects: BTreeMap<String, Stored>,
    changes: Vec<(u64, Value)>,
    fault: Fault,
    /// Revisions that no watch shows.
    hidden_from_watches: Vec<u64>,
    compacted_below: u64,
    writes: u64,
}

/// A tiny object API.
#[derive(Clone)]
pub struct ObjectApi {
    pub address: SocketAddr,
    store: Arc<Mutex<Store>>,
    revisions: Arc<watch::Sender<u64>>,
    /// How often the connections open then fell silent.
    silences: Arc<watch::Sender<u64>>,
    connections: Arc<AtomicUsize>,
}

impl ObjectApi {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let api = Self {
            address: listener.local_addr().unwrap(),
            store: Arc::default(),
            revisions: Arc::new(watch::Sender::new(0)),
            silences: Arc::new(watch::Sender::new(0)),
            connections: Arc::default(),
        };
        tokio::spawn(api.clone().accept(listener));
        api
    }

    pub fn set_fault(&self, fault: Fault) {
        self.store.lock().fault = fault;
    }

    /// Makes all connections that are open now silent for good: their bytes are taken, nothing comes
    /// back, and none is closed. New ones work.
    pub fn silence_open_connections(&self) {
        self.silences.send_modify(|silences| *silences += 1);
    }

    /// Connections accepted so far.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    /// Makes watches skip the next change.
    pub fn hide_next_change(&self) {
        let mut store = self.store.lock();
        let next = store.revision + 1;
        store.hidden_from_watches.push(next);
    }

    /// Ends all watches, and refuses new ones from before now.
    pub fn compact(&self) {
        let mut store = self.store.lock();
        store.compacted_below = store.revision + 1;
        drop(store);
        self.revisions.send_modify(|_| {});
    }

    pub fn keys(&self) -> Vec<String> {
        self.store.lock().objects.keys().cloned().collect()
    }

    /// Writes that took effect.
    pub fn writes(&self) -> u64 {
        self.store.lock().writes
    }

    async fn accept(self, listener: TcpListener) {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            self.connections.fetch_add(1, Ordering::SeqCst);
            let silences = self.silences.subscribe();
            tokio::spawn(self.clone().serve(stream, silences));
        }
    }

    async fn serve(self, mut stream: TcpStream, mut silences: watch::Receiver<u64>) {
        let (inner, mut outer) = tokio::io::duplex(PIPE_BYTES);
        let passed_on = async move {
            tokio::select! {
                _ = copy_bidirectional(&mut stream, &mut outer) => return,
                _ = silences.changed() => {}
            }
            let _ = copy(&mut stream, &mut sink()).await;
        };
        tokio::join!(self.serve_stream(inner), passed_on);
    }

    async fn serve_stream(self, stream: DuplexStream) {
        let service = service_fn(move |request| {
            let api = self.clone();
            async move { api.answer(request).await }
        });
        let builder = hyper::server::conn::http1::Builder::new();
        let _ = builder
            .serve_connection(TokioIo::new(stream), service)
            .await;
    }

    /// An error here makes hyper close the connection unanswered.
    async fn answer(&self, request: Request<Incoming>) -> Result<Response<Body>, String> {
        let fault = self.store.lock().fault;
        if fault == Fault::Down {
            return Err("down".to_owned());
        }
        if fault == Fault::Unanswered && request.uri().path() != "/watch" {
            std::future::pending::<()>().await;
        }
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let query = request.uri().query().unwrap_or_default().to_owned();
        let condition = Condition::of(&request);
        let body = request.into_body().collect().await.unwrap().to_bytes();
        if path == "/machines" {
            return Ok(reply(200, &json!({"machines": []})));
        }
        if path == "/watch" {
            return Ok(self.watch(&parameter(&query, "prefix"), &parameter(&query, "from")));
        }
        let Some(key) = path.strip_prefix("/objects/") else {
            return Ok(self.list(&parameter(&query, "prefix")));
        };
        let answer = match method {
            Method::GET => self.get(key),
            Method::PUT => self.put(key, &body, condition),
            Method::DELETE => self.delete(key, condition),
            _ => reply(405, &json!({})),
        };
        if method != Method::GET && fault == Fault::WriteAnswersLost {
            return Err("answer lost".to_owned());
        }
        Ok(answer)
    }

    fn get(&self, key: &str) -> Response<Body> {
        let store = self.store.lock();
        match store.objects.get(key) {
            Some(object) => reply(200, &shown(key, object)),
            None => reply(404, &json!({})),
        }
    }

    fn list(&self, prefix: &str) -> Response<Body> {
        let store = self.store.lock();
        let matching = store
            .objects
            .iter()
            .filter(|(key, _)| key.starts_with(prefix));
        let objects: Vec<Value> = matching.map(|(key, object)| shown(key, object)).collect();
        reply(
            200,
            &json!({"revision": store.revision, "objects": objects}),
        )
    }

    fn put(&self, key: &str, body: &[u8], condition: Condition) -> Response<Body> {
        let mut store = self.store.lock();
        let current = store.objects.get(key).map_or(0, |object| object.version);
        if !condition.holds(current) {
            return reply(409, &json!({"version": current}));
        }
        let stored = Stored {
            version: current + 1,
            value: serde_json::from_slice(body).unwrap(),
        };
        store.objects.insert(key.to_owned(), stored.clone());
        self.record(&mut store, key, stored.version, stored.value);
        reply(200, &json!({"version": stored.version}))
    }

    fn delete(&self, key: &str, condition: Condition) -> Response<Body> {
        let mut store = self.store.lock();
        let Some(current) = store.objects.get(key).map(|object| object.version) else {
            return reply(404, &json!({}));
        };
        if !condition.holds(current) {
            return reply(409, &json!({"version": current}));
        }
        store.objects.remove(key);
        self.record(&mut store, key, current, Value::Null);
        reply(200, &json!({}))
    }

    fn record(&self, store: &mut Store, key: &str, version: u64, value: Value) {
        store.revision += 1;
        store.writes += 1;
        let revision = store.revision;
        let change = json!({"revision": revision, "key": key, "version": version, "value": value});
        store.changes.push((revision, change));
        self.revisions.send_replace(revision);
    }

    fn watch(&self, prefix: &str, from: &str) -> Response<Body> {
        let mut next: u64 = from.parse().unwrap();
        let opened_at = self.store.lock().compacted_below;
        if next < opened_at {
            return reply(410, &json!({}));
        }
        let (mut sender, body) = Channel::<Bytes, Infallible>::new(16);
        let api = self.clone();
        let prefix = prefix.to_owned();
        let mut revisions = self.revisions.subscribe();
        tokio::spawn(async move {
            while api.store.lock().compacted_below == opened_at {
                for line in api.lines(&prefix, next) {
                    if sender.send_data(Bytes::from(line)).await.is_err() {
                        return;
                    }
                }
                next = next.max(api.store.lock().revision + 1);
                if revisions.changed().await.is_err() {
                    return;
                }
            }
        });
        Response::new(body.boxed())
    }

    fn lines(&self, prefix: &str, from: u64) -> Vec<String> {
        let store = self.store.lock();
        let shown = |(revision, change): &&(u64, Value)| {
            let key = change["key"].as_str().unwrap();
            *revision >= from
                && key.starts_with(prefix)
                && !store.hidden_from_watches.contains(revision)
        };
        let changes = store.changes.iter().filter(shown);
        changes.map(|(_, change)| format!("{change}\n")).collect()
    }
}

#[derive(Debug, Clone, Copy)]
enum Condition {
    None,
    Absent,
    Version(u64),
}

impl Condition {
    fn of(request: &Request<Incoming>) -> Self {
        if request.headers().contains_key(header::IF_NONE_MATCH) {
            return Self::Absent;
        }
        let version = request.headers().get(header::IF_MATCH);
        version.map_or(Self::None, |version| {
            Self::Version(version.to_str().unwrap().parse().unwrap())
        })
    }

    fn holds(self, current: u64) -> bool {
        match self {
            Self::None => true,
            Self::Absent => current == 0,
            Self::Version(version) => version == current,
        }
    }
}

fn shown(key: &str, object: &Stored) -> Value {
    json!({"key": key, "version": object.version, "value": object.value})
}

fn reply(status: u16, body: &Value) -> Response<Body> {
    let body = Full::new(Bytes::from(body.to_string()));
    Response::builder()
        .status(status)
        .body(body.boxed())
        .unwrap()
}

fn parameter(query: &str, name: &str) -> String {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let found = pairs.find(|(key, _)| *key == name);
    found.map(|(_, value)| value.to_owned()).unwrap_or_default()
}
