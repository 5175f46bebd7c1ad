//! A stand-in of the platform's store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Message, Stream};
use crate::json::{self, Json};

/// Time that a call takes.
const LATENCY: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
}

struct Event {
    revision: u64,
    kind: String,
    text: String,
}

#[derive(Default)]
struct Content {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
}

/// The store, which the clones share.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<Content>, Condvar)>);

fn object_text(name: &str, object: &Object) -> String {
    format!(
        "{{\"Metadata\":{{\"Name\":{},\"Revision\":{},\"Created\":{},\"Finalizers\":[],\"Deletion\":false}},\"Spec\":{},\"Status\":null}}",
        json::quote(name),
        object.revision,
        object.created,
        object.spec
    )
}

/// Returns an entry without its `Sequence`: one that differs in nothing else is no change.
fn without_sequence(spec: &str) -> (&str, &str) {
    let Some((before, rest)) = spec.split_once("\"Sequence\":") else {
        return (spec, "");
    };
    (before, rest.trim_start_matches(|c: char| c.is_ascii_digit()))
}

impl Content {
    fn put(&mut self, kind: &str, name: &str, spec: &str) -> Object {
        let key = (kind.to_owned(), name.to_owned());
        let same = |o: &&Object| without_sequence(&o.spec) == without_sequence(spec);
        if let Some(same) = self.objects.get(&key).filter(same) {
            return same.clone();
        }
        self.revision += 1;
        let created = self.objects.get(&key).map_or(self.revision, |o| o.created);
        let object = Object { revision: self.revision, created, spec: spec.to_owned() };
        self.log(kind, name, &object, false);
        self.objects.insert(key, object.clone());
        object
    }

    fn log(&mut self, kind: &str, name: &str, object: &Object, deleted: bool) {
        let text = object_text(name, object);
        let text = format!("{{\"Deleted\":{deleted},\"Object\":{text}}}");
        self.events.push(Event { revision: self.revision, kind: kind.to_owned(), text });
    }
}

impl Store {
    /// Starts to serve an address. Revisions begin above 0.
    pub fn start(address: SocketAddr) -> Self {
        let store = Self::default();
        store.0.0.lock().unwrap().revision = 100;
        let served = store.clone();
        http::serve(address, move |request, stream| served.handle(&request, stream));
        store
    }

    /// Writes an object as its owner, which isn't a process of the system, does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.0.0.lock().unwrap().put(kind, name, spec);
        self.0.1.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut content = self.0.0.lock().unwrap();
        if let Some(object) = content.objects.remove(&(kind.to_owned(), name.to_owned())) {
            content.revision += 1;
            content.log(kind, name, &object, true);
        }
        drop(content);
        self.0.1.notify_all();
    }

    fn handle(&self, request: &Message, stream: &mut Stream) -> bool {
        std::thread::sleep(LATENCY);
        let target = request.target().to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let Some(path) = path.strip_prefix("/-/objects/") else {
            return http::answer(stream, "404 Not Found", "", "");
        };
        let value = |name: &str| {
            let found = query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('='));
            found.map(str::to_owned)
        };
        let (kind, name) = match path.split_once('/') {
            Some((kind, name)) => (kind, Some(decode(name))),
            None => (path, None),
        };
        let (status, body) = match (request.method(), name) {
            ("GET", Some(name)) => self.read(kind, &name),
            ("GET", None) => match value("Watch").and_then(|r| r.parse().ok()) {
                Some(revision) => {
                    let wait = value("WaitMs").and_then(|w| w.parse().ok()).unwrap_or(0);
                    self.watch(kind, revision, Duration::from_millis(wait))
                }
                None => self.list(kind, value("After").map(|a| decode(&a))),
            },
            ("POST" | "PUT", name) => self.write(kind, name, &request.body),
            _ => ("404 Not Found", String::new()),
        };
        http::answer(stream, status, "Content-Type: application/json\r\n", &body)
    }

    fn read(&self, kind: &str, name: &str) -> (&'static str, String) {
        let content = self.0.0.lock().unwrap();
        match content.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some(object) => ("200 OK", object_text(name, object)),
            None => ("404 Not Found", String::new()),
        }
    }

    fn list(&self, kind: &str, after: Option<String>) -> (&'static str, String) {
        let content = self.0.0.lock().unwrap();
        let after = after.unwrap_or_default();
        let own = content.objects.iter().filter(|((k, n), _)| k == kind && *n > after);
        let items: Vec<String> = own.map(|((_, n), o)| object_text(n, o)).collect();
        let body = format!(
            "{{\"Items\":[{}],\"More\":false,\"AsOf\":{}}}",
            items.join(","),
            content.revision
        );
        ("200 OK", body)
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> (&'static str, String) {
        let end = Instant::now() + wait;
        let mut content = self.0.0.lock().unwrap();
        loop {
            let new = content.events.iter().filter(|e| e.kind == kind && e.revision > after);
            let new: Vec<String> = new.map(|e| e.text.clone()).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !new.is_empty() || left.is_zero() {
                let as_of = content.revision.max(after);
                let body = format!("{{\"events\":[{}],\"AsOf\":{as_of}}}", new.join(","));
                return ("200 OK", body);
            }
            content = self.0.1.wait_timeout(content, left).unwrap().0;
        }
    }

    fn write(&self, kind: &str, name: Option<String>, body: &[u8]) -> (&'static str, String) {
        let parsed = json::parse(&String::from_utf8_lossy(body)).unwrap_or(Json::Null);
        let metadata = parsed.get("Metadata");
        let create = name.is_none();
        let name = name.or_else(|| metadata.get("Name").text().map(str::to_owned));
        let Some(name) = name else {
            return ("400 Bad Request", String::new());
        };
        let mut content = self.0.0.lock().unwrap();
        let known = content.objects.get(&(kind.to_owned(), name.clone())).cloned();
        let expected = metadata.get("Revision").number();
        match (&known, create) {
            (None, false) => return ("404 Not Found", String::new()),
            (Some(known), true) => return ("409 Conflict", object_text(&name, known)),
            (Some(known), false) if expected.is_some_and(|r| r != known.revision) => {
                return ("409 Conflict", object_text(&name, known));
            }
            _ => {}
        }
        let object = content.put(kind, &name, &parsed.get("Spec").write());
        drop(content);
        self.0.1.notify_all();
        ("200 OK", object_text(&name, &object))
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).and_then(|h| std::str::from_utf8(h).ok());
        let byte = hex.and_then(|h| u8::from_str_radix(h, 16).ok()).filter(|_| bytes[at] == b'%');
        out.push(byte.unwrap_or(bytes[at]));
        at += if byte.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&out).into_owned()
}
