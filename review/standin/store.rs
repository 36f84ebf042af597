//! The platform's store: objects by kind and name, lists and watches.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json::{member, unquoted};

const PATH: &str = "/api/objects/";
/// An answer holds about so much; the next watch continues from its `at`.
const MOST_BYTES: usize = 1_000_000;

#[derive(Default)]
struct Objects {
    revision: u64,
    /// By kind and name: revision and content.
    held: BTreeMap<(String, String), (u64, String)>,
    /// Revision, kind, object, and whether it has gone.
    history: Vec<(u64, String, String, bool)>,
}

impl Objects {
    fn put(&mut self, kind: &str, name: &str, spec: &str) -> String {
        self.revision += 1;
        let key = (kind.to_owned(), name.to_owned());
        self.held.insert(key, (self.revision, spec.to_owned()));
        let object = text(name, self.revision, spec);
        self.history
            .push((self.revision, kind.to_owned(), object.clone(), false));
        object
    }

    fn get(&self, kind: &str, name: &str) -> Option<(u64, String)> {
        let key = (kind.to_owned(), name.to_owned());
        let (revision, spec) = self.held.get(&key)?;
        Some((*revision, text(name, *revision, spec)))
    }

    fn remove(&mut self, kind: &str, name: &str) {
        let key = (kind.to_owned(), name.to_owned());
        if let Some((_, spec)) = self.held.remove(&key) {
            self.revision += 1;
            let object = text(name, self.revision, &spec);
            self.history
                .push((self.revision, kind.to_owned(), object, true));
        }
    }
}

fn text(name: &str, revision: u64, spec: &str) -> String {
    format!(
        r#"{{"metadata":{{"name":"{name}","revision":{revision},"made":1,"finalizers":[],"deleting":false}},"spec":{spec},"status":null}}"#
    )
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    objects: Arc<(Mutex<Objects>, Condvar)>,
    /// How long an answer takes.
    delay: Arc<Mutex<Duration>>,
}

impl Store {
    pub fn start(address: &str) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let store = Self {
            address: listener.local_addr()?,
            objects: Arc::default(),
            delay: Arc::new(Mutex::new(Duration::from_millis(4))),
        };
        let served = store.clone();
        http::serve(listener, move |message| served.answer(&message));
        Ok(store)
    }

    /// Writes as the operator or a runner does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let (objects, changed) = &*self.objects;
        objects.lock().unwrap().put(kind, name, spec);
        changed.notify_all();
    }

    /// Writes unless the object holds this already, as a heartbeat that changes nothing.
    pub fn put_if_new(&self, kind: &str, name: &str, spec: &str) {
        let (objects, changed) = &*self.objects;
        let mut objects = objects.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        if objects.held.get(&key).is_none_or(|(_, held)| held != spec) {
            objects.put(kind, name, spec);
            changed.notify_all();
        }
    }

    fn answer(&self, message: &Message) -> Vec<u8> {
        let delay = *self.delay.lock().unwrap();
        std::thread::sleep(delay);
        let (path, query) = message
            .second()
            .split_once('?')
            .unwrap_or((message.second(), ""));
        let Some(path) = path.strip_prefix(PATH) else {
            return http::answer("404 Not Found", &[], b"{}");
        };
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let body = String::from_utf8_lossy(&message.body);
        let (status, body) = match (message.method(), name) {
            ("GET", "") if query.contains("watch=") => ("200 OK", self.watch(kind, query)),
            ("GET", "") => ("200 OK", self.list(kind, query)),
            ("GET", name) => self.get(kind, name),
            ("POST", _) => self.post(kind, &body),
            ("PUT", name) => self.replace(kind, name, &body),
            ("DELETE", name) => {
                let (objects, changed) = &*self.objects;
                objects.lock().unwrap().remove(kind, name);
                changed.notify_all();
                ("200 OK", "{}".to_owned())
            }
            _ => ("405 Method Not Allowed", "{}".to_owned()),
        };
        let fields = [("Content-Type", "application/json")];
        http::answer(status, &fields, body.as_bytes())
    }

    fn get(&self, kind: &str, name: &str) -> (&'static str, String) {
        let held = self.objects.0.lock().unwrap().get(kind, name);
        held.map_or(("404 Not Found", "{}".to_owned()), |(_, object)| {
            ("200 OK", object)
        })
    }

    fn list(&self, kind: &str, query: &str) -> String {
        let after = parameter(query, "after").unwrap_or_default();
        let objects = self.objects.0.lock().unwrap();
        let of_kind = objects.held.iter().filter(|((known, _), _)| known == kind);
        let items: Vec<_> = of_kind
            .filter(|((_, name), _)| name.as_str() > after)
            .map(|((_, name), (revision, spec))| text(name, *revision, spec))
            .collect();
        let at = objects.revision;
        format!(
            r#"{{"items":[{}],"more":false,"at":{at}}}"#,
            items.join(",")
        )
    }

    fn watch(&self, kind: &str, query: &str) -> String {
        let number = |name| parameter(query, name).and_then(|value| value.parse::<u64>().ok());
        let since = number("watch").unwrap_or_default();
        let end = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or_default());
        let (objects, changed) = &*self.objects;
        let mut objects = objects.lock().unwrap();
        loop {
            let news = objects.history.iter();
            let news = news.filter(|(revision, of, _, _)| *revision > since && of == kind);
            let mut events: Vec<String> = Vec::new();
            let mut at = objects.revision;
            let mut bytes = 0;
            for (revision, _, object, gone) in news {
                bytes += object.len();
                if !events.is_empty() && bytes > MOST_BYTES {
                    break;
                }
                at = *revision;
                events.push(format!(r#"{{"gone":{gone},"object":{object}}}"#));
            }
            let is_whole = bytes <= MOST_BYTES;
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = if is_whole { objects.revision } else { at };
                return format!(r#"{{"events":[{}],"at":{at}}}"#, events.join(","));
            }
            objects = changed.wait_timeout(objects, left).unwrap().0;
        }
    }

    fn post(&self, kind: &str, body: &str) -> (&'static str, String) {
        let Some((name, _, spec)) = read_object(body) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let (objects, changed) = &*self.objects;
        let mut objects = objects.lock().unwrap();
        if let Some((_, held)) = objects.get(kind, &name) {
            return ("409 Conflict", held);
        }
        let object = objects.put(kind, &name, spec);
        changed.notify_all();
        ("201 Created", object)
    }

    fn replace(&self, kind: &str, name: &str, body: &str) -> (&'static str, String) {
        let Some((_, revision, spec)) = read_object(body) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let (objects, changed) = &*self.objects;
        let mut objects = objects.lock().unwrap();
        let Some((known, held)) = objects.get(kind, name) else {
            return ("404 Not Found", "{}".to_owned());
        };
        if revision.is_some_and(|revision| revision != known) {
            return ("409 Conflict", held);
        }
        let object = objects.put(kind, name, spec);
        changed.notify_all();
        ("200 OK", object)
    }
}

/// Name, revision and content of an object.
fn read_object(body: &str) -> Option<(String, Option<u64>, &str)> {
    let metadata = member(body, "metadata")?;
    let name = unquoted(member(metadata, "name")?).to_owned();
    let revision = member(metadata, "revision").and_then(|revision| revision.parse().ok());
    Some((name, revision, member(body, "spec")?))
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut fields = query.split('&').filter_map(|field| field.split_once('='));
    fields
        .find(|(known, _)| *known == name)
        .map(|(_, value)| value)
}
