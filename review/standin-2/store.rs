//! The platform's store of objects.

use std::collections::BTreeMap;
use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Head, read_body, read_head, write_json};
use crate::json::{Value, quoted};

#[derive(Clone)]
struct Object {
    name: String,
    revision: u64,
    made: u64,
    spec: Value,
    status: Value,
}

impl Object {
    fn print(&self) -> String {
        format!(
            "{{\"metadata\":{{\"name\":{},\"revision\":{},\"made\":{},\"finalizers\":[],\"deleting\":false}},\
             \"spec\":{},\"status\":{}}}",
            quoted(&self.name),
            self.revision,
            self.made,
            self.spec.print(),
            self.status.print()
        )
    }
}

struct Event {
    revision: u64,
    kind: String,
    text: String,
}

#[derive(Default)]
struct Content {
    revision: u64,
    kinds: BTreeMap<String, BTreeMap<String, Object>>,
    events: Vec<Event>,
}

impl Content {
    fn note(&mut self, kind: &str, object: &Object, is_gone: bool) {
        self.events.push(Event {
            revision: self.revision,
            kind: kind.to_owned(),
            text: format!("{{\"gone\":{is_gone},\"object\":{}}}", object.print()),
        });
    }

    fn write(&mut self, kind: &str, name: &str, change: impl FnOnce(&mut Object)) -> Object {
        let objects = self.kinds.entry(kind.to_owned()).or_default();
        let known = objects.get(name).cloned();
        let mut object = known.clone().unwrap_or(Object {
            name: name.to_owned(),
            revision: 0,
            made: self.revision + 1,
            spec: Value::Null,
            status: Value::Null,
        });
        change(&mut object);
        if let Some(known) =
            known.filter(|known| known.spec == object.spec && known.status == object.status)
        {
            return known;
        }
        self.revision += 1;
        object.revision = self.revision;
        objects.insert(name.to_owned(), object.clone());
        self.note(kind, &object, false);
        object
    }
}

/// The store; its history is kept whole, and it answers every call at once.
#[derive(Clone, Default)]
pub struct Store {
    content: Arc<(Mutex<Content>, Condvar)>,
    is_down: Arc<AtomicBool>,
}

impl Store {
    /// Serves on a free port.
    pub fn serve(&self) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve_connection(stream));
            }
        });
        Ok(address)
    }

    /// While it is down, it answers 503 to every call, which says that nothing was done.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::SeqCst);
        self.content.1.notify_all();
    }

    fn is_down(&self) -> bool {
        self.is_down.load(Ordering::SeqCst)
    }

    /// Writes what the operator or a server writes; the acknowledgement is the return.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let spec = Value::parse(spec).expect("a stand-in writes JSON");
        let (content, changed) = &*self.content;
        content
            .lock()
            .unwrap()
            .write(kind, name, |object| object.spec = spec);
        changed.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let (content, changed) = &*self.content;
        let mut content = content.lock().unwrap();
        let objects = content.kinds.entry(kind.to_owned()).or_default();
        if let Some(object) = objects.remove(name) {
            content.revision += 1;
            content.note(kind, &object, true);
        }
        changed.notify_all();
    }

    fn serve_connection(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reading);
        while let Ok(Some(head)) = read_head(&mut reader) {
            let Ok(body) = read_body(&mut reader, &head) else {
                return;
            };
            let (status, text) = self.answer(&head, &String::from_utf8_lossy(&body));
            if write_json(&mut stream, status, &text).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &str) -> (u16, String) {
        if self.is_down() {
            return (503, "{}".to_owned());
        }
        let target = head.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parts: Vec<&str> = path
            .trim_start_matches("/api/objects/")
            .split('/')
            .collect();
        let field = |name: &str| {
            let mut fields = query.split('&').filter_map(|field| field.split_once('='));
            fields
                .find(|(known, _)| *known == name)
                .map(|(_, value)| value.to_owned())
        };
        match (head.word(0), parts.as_slice()) {
            ("GET", [kind]) => match field("watch").and_then(|revision| revision.parse().ok()) {
                Some(revision) => {
                    let wait = field("waitMs").and_then(|wait| wait.parse().ok());
                    self.watch(
                        kind,
                        revision,
                        Duration::from_millis(wait.unwrap_or_default()),
                    )
                }
                None => self.list(kind, &field("after").unwrap_or_default()),
            },
            ("GET", [kind, name]) => {
                let content = self.content.0.lock().unwrap();
                let object = content
                    .kinds
                    .get(*kind)
                    .and_then(|objects| objects.get(*name));
                object.map_or((404, "{}".to_owned()), |object| (200, object.print()))
            }
            ("POST", [kind]) => self.make(kind, body),
            ("PUT", [kind, name]) => {
                self.replace(kind, name, body, |object, spec, _| object.spec = spec)
            }
            ("PUT", [kind, name, "status"]) => {
                self.replace(kind, name, body, |object, _, status| object.status = status)
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str, after: &str) -> (u16, String) {
        let content = self.content.0.lock().unwrap();
        let objects = content.kinds.get(kind).into_iter().flatten();
        let items = objects.filter(|(name, _)| name.as_str() > after);
        let items: Vec<_> = items.map(|(_, object)| object.print()).collect();
        let text = format!(
            "{{\"items\":[{}],\"more\":false,\"at\":{}}}",
            items.join(","),
            content.revision
        );
        (200, text)
    }

    fn watch(&self, kind: &str, revision: u64, wait: Duration) -> (u16, String) {
        let end = Instant::now() + wait;
        let (content, changed) = &*self.content;
        let mut content = content.lock().unwrap();
        loop {
            if self.is_down() {
                return (503, "{}".to_owned());
            }
            let events = content.events.iter();
            let events = events.filter(|event| event.revision > revision && event.kind == kind);
            let events: Vec<_> = events.map(|event| event.text.clone()).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let text = format!(
                    "{{\"events\":[{}],\"at\":{}}}",
                    events.join(","),
                    content.revision
                );
                return (200, text);
            }
            content = changed.wait_timeout(content, left).unwrap().0;
        }
    }

    fn make(&self, kind: &str, body: &str) -> (u16, String) {
        let Some(asked) = Value::parse(body) else {
            return (400, "{}".to_owned());
        };
        let name = asked
            .get("metadata")
            .and_then(|metadata| metadata.get("name"));
        let Some(name) = name.and_then(Value::text) else {
            return (400, "{}".to_owned());
        };
        let (content, changed) = &*self.content;
        let mut content = content.lock().unwrap();
        if let Some(known) = content
            .kinds
            .get(kind)
            .and_then(|objects| objects.get(name))
        {
            return (409, known.print());
        }
        let spec = asked.get("spec").cloned().unwrap_or(Value::Null);
        let made = content.write(kind, name, |object| object.spec = spec);
        changed.notify_all();
        (201, made.print())
    }

    fn replace(
        &self,
        kind: &str,
        name: &str,
        body: &str,
        change: impl FnOnce(&mut Object, Value, Value),
    ) -> (u16, String) {
        let Some(asked) = Value::parse(body) else {
            return (400, "{}".to_owned());
        };
        let (content, changed) = &*self.content;
        let mut content = content.lock().unwrap();
        let Some(known) = content
            .kinds
            .get(kind)
            .and_then(|objects| objects.get(name))
        else {
            return (404, "{}".to_owned());
        };
        let revision = asked
            .get("metadata")
            .and_then(|metadata| metadata.get("revision"));
        if revision
            .and_then(Value::whole)
            .is_some_and(|revision| revision != known.revision)
        {
            return (409, known.print());
        }
        let spec = asked.get("spec").cloned().unwrap_or(Value::Null);
        let status = asked.get("status").cloned().unwrap_or(Value::Null);
        let written = content.write(kind, name, |object| change(object, spec, status));
        changed.notify_all();
        (200, written.print())
    }
}
