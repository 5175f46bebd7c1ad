//! Stand-ins of consumers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::http::{self, Reply, Stream};

/// One kind of requests, as a consumer sends it.
#[derive(Clone, Copy)]
pub struct Kind {
    pub path: &'static str,
    pub tokens: &'static str,
    pub deadline: Duration,
}

/// The key and host of all consumers.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
pub const HOST: &str = "ficu95.example";

/// Returns the head of a streaming request.
pub fn stream_head(kind: Kind, id: &str, model: &str, body: usize) -> String {
    format!(
        "POST {}2f HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Model: {model}\r\nX-Token-Usage: {}\r\nX-Prefix-Hash: 5c1e07a2:40,{:x}:250\r\nX-Deadline-Ms: {}\r\nAuthorization: Bearer {KEY}\r\nContent-Length: {body}\r\n\r\n",
        kind.path,
        kind.tokens,
        fingerprint(id),
        kind.deadline.as_millis()
    )
}

/// Returns the head of an unsafe request.
pub fn deposit_head(path: &str, id: &str, deadline: Duration, body: usize) -> String {
    format!(
        "POST {path}2f HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {}\r\nAuthorization: Bearer {KEY}\r\nContent-Length: {body}\r\n\r\n",
        deadline.as_millis()
    )
}

fn fingerprint(text: &str) -> u32 {
    text.bytes().fold(2_166_136_261, |h, b| (h ^ u32::from(b)).wrapping_mul(16_777_619))
}

/// Sends a streaming request on a channel, and waits for its answer up to its deadline.
pub fn send_stream(stream: &mut Stream, kind: Kind, id: &str, model: &str) -> Reply {
    let body = b"{\"prompt\":\"what is in the interval\"}";
    let head = stream_head(kind, id, model, body.len());
    http::exchange(stream, &head, body, Instant::now() + kind.deadline)
}

/// Sends requests one after the other until `end`, each on a new channel after a failure, and
/// reports each answer. A refused one comes back after the time that it was told.
pub fn keep_asking(
    front: SocketAddr,
    kind: Kind,
    model: &str,
    name: &str,
    end: Instant,
    report: impl Fn(&str, &Reply),
) {
    let mut number = 0;
    let mut channel: Option<Stream> = None;
    while Instant::now() < end {
        number += 1;
        let opened = channel.take().or_else(|| http::connect(front).ok());
        let Some(mut stream) = opened else {
            std::thread::sleep(Duration::from_millis(200));
            continue;
        };
        let id = format!("{name}-{number}");
        let reply = send_stream(&mut stream, kind, &id, model);
        report(&id, &reply);
        let retry = reply.head.header("retry-after").and_then(|v| v.parse::<f64>().ok());
        if reply.complete && reply.head.header("connection").is_none_or(|c| c != "close") {
            channel = Some(stream);
        }
        if reply.status != 200 {
            let pause = retry.unwrap_or(0.2).min(kind.deadline.as_secs_f64() / 3.0);
            std::thread::sleep(Duration::from_secs_f64(pause));
        }
    }
}
