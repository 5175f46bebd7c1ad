//! One request, as a careful caller makes it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bulrushhoist_standin::{expected_part, expected_parts};
use futures_util::StreamExt as _;
use reqwest::{Client, Response};
use serde_json::Value;
use tokio::time::Instant;

use crate::entries::Entries;

/// Times that a caller repeats a request that was not run.
const REPEATS: usize = 2;
/// Times that a caller resumes a stream at another entry.
const RESUMES: usize = 3;

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Ending {
    /// The whole and right answer.
    Whole(Timing),
    /// A refusal with its reason and execution.
    Refused(String, String),
    /// The answer was cut off.
    Partial,
    /// The answer was not that of this request.
    Wrong,
    /// Nothing whole came in time.
    TimedOut,
    /// No connection came about, or it broke before any answer.
    Failed,
}

/// When the parts of an answer arrived.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Timing {
    pub(crate) first: Duration,
    pub(crate) gaps: Vec<Duration>,
    pub(crate) resumed: usize,
}

/// What a caller needs.
#[derive(Clone)]
pub(crate) struct Caller {
    pub(crate) client: Client,
    pub(crate) entries: Arc<Entries>,
    pub(crate) token: String,
    pub(crate) patience: Duration,
    pub(crate) repeats: bool,
}

impl Caller {
    /// Asks for a streamed completion.
    pub(crate) async fn complete(&self, body: String) -> Ending {
        let asked = tokio::time::timeout(self.patience, self.complete_patiently(body)).await;
        asked.unwrap_or(Ending::TimedOut)
    }

    async fn complete_patiently(&self, body: String) -> Ending {
        let mut avoid = None;
        let mut last = Ending::Failed;
        for _ in 0..=REPEATS {
            let start = Instant::now();
            let Some(entry) = self.entries.pick(avoid).await else {
                return last;
            };
            let url = format!("http://{entry}/v1/chat/completions");
            let request = self
                .client
                .post(url)
                .bearer_auth(&self.token)
                .body(body.clone());
            last = match request.send().await {
                Ok(response) if response.status().is_success() => {
                    self.read_stream(response, entry, body.as_bytes(), start)
                        .await
                }
                Ok(response) => refusal(response).await,
                Err(_) => Ending::Failed,
            };
            let again = match &last {
                Ending::Failed => true,
                Ending::Refused(_, execution) => execution == "not_run",
                _ => false,
            };
            if !again || !self.repeats {
                return last;
            }
            avoid = Some(entry);
        }
        last
    }

    async fn read_stream(
        &self,
        response: Response,
        entry: SocketAddr,
        body: &[u8],
        start: Instant,
    ) -> Ending {
        let mut reader = Reader::new(body, start);
        let mut state = reader.read(response).await;
        let mut avoid = entry;
        while state == ReadState::Cut && reader.timing.resumed < RESUMES {
            reader.timing.resumed += 1;
            let Some(entry) = self.entries.pick(Some(avoid)).await else {
                break;
            };
            avoid = entry;
            let url = format!("http://{entry}/v1/streams");
            let request = self.client.get(url).bearer_auth(&self.token);
            let resumed = request
                .header("last-event-id", &reader.last_id)
                .send()
                .await;
            state = match resumed {
                Ok(response) if response.status().is_success() => reader.read(response).await,
                _ => ReadState::Cut,
            };
        }
        match state {
            ReadState::Whole => Ending::Whole(reader.timing),
            ReadState::Wrong => Ending::Wrong,
            ReadState::Cut => Ending::Partial,
        }
    }

    /// Makes a non-idempotent call under a ticket; repeats it under the same
    /// ticket if no answer came.
    pub(crate) async fn call(&self, service: &str, path: &str, body: String) -> Ending {
        let asked = tokio::time::timeout(self.patience, self.call_patiently(service, path, body));
        asked.await.unwrap_or(Ending::TimedOut)
    }

    async fn call_patiently(&self, service: &str, path: &str, body: String) -> Ending {
        let start = Instant::now();
        let mut avoid = None;
        let mut ticket: Option<String> = None;
        let mut last = Ending::Failed;
        for _ in 0..=REPEATS {
            let Some(entry) = self.entries.pick(avoid).await else {
                return last;
            };
            avoid = Some(entry);
            if ticket.is_none() {
                ticket = self.ticket(entry).await;
            }
            let Some(held) = &ticket else { continue };
            let url = format!("http://{entry}/v1/services/{service}{path}");
            let request = self
                .client
                .post(url)
                .bearer_auth(&self.token)
                .header("ticket", held);
            last = match request.body(body.clone()).send().await {
                Ok(response) if response.status().is_success() => {
                    check_call(response, &body, start).await
                }
                Ok(response) => refusal(response).await,
                Err(_) => Ending::Failed,
            };
            match &last {
                // The ticket is spent; another may run.
                Ending::Refused(_, execution) if execution == "not_run" => ticket = None,
                Ending::Failed => {}
                _ => return last,
            }
            if !self.repeats {
                return last;
            }
        }
        last
    }

    async fn ticket(&self, entry: SocketAddr) -> Option<String> {
        let url = format!("http://{entry}/v1/tickets");
        let answer = self
            .client
            .post(url)
            .bearer_auth(&self.token)
            .send()
            .await
            .ok()?;
        let answer: Value = answer.json().await.ok()?;
        Some(answer["tickets"][0].as_str()?.to_owned())
    }
}

async fn refusal(response: Response) -> Ending {
    let problem: Value = response.json().await.unwrap_or_default();
    let field = |name: &str| problem[name].as_str().unwrap_or("none").to_owned();
    Ending::Refused(field("reason"), field("execution"))
}

async fn check_call(response: Response, body: &str, start: Instant) -> Ending {
    let Ok(answer) = response.json::<Value>().await else {
        return Ending::Partial;
    };
    if answer["done"].as_str() != Some(body) {
        return Ending::Wrong;
    }
    Ending::Whole(Timing {
        first: start.elapsed(),
        ..Timing::default()
    })
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadState {
    Whole,
    Cut,
    Wrong,
}

/// Reads a stream, over several connections if need be.
struct Reader<'a> {
    body: &'a [u8],
    parts: u64,
    next: u64,
    last: Instant,
    start: Instant,
    timing: Timing,
    last_id: String,
}

impl<'a> Reader<'a> {
    fn new(body: &'a [u8], start: Instant) -> Self {
        Self {
            body,
            parts: expected_parts(body),
            next: 0,
            last: start,
            start,
            timing: Timing::default(),
            last_id: String::new(),
        }
    }

    async fn read(&mut self, response: Response) -> ReadState {
        let mut chunks = response.bytes_stream();
        let mut buffer = Vec::new();
        while let Some(Ok(chunk)) = chunks.next().await {
            buffer.extend_from_slice(&chunk);
            while let Some(at) = buffer.windows(2).position(|w| w == b"\n\n") {
                let event: Vec<u8> = buffer.drain(..at + 2).collect();
                match self.take(&String::from_utf8_lossy(&event)) {
                    Some(state) => return state,
                    None => continue,
                }
            }
        }
        ReadState::Cut
    }

    /// Takes one event; returns a state if it is the last.
    fn take(&mut self, event: &str) -> Option<ReadState> {
        if event.starts_with("event: error") {
            return Some(ReadState::Cut);
        }
        let data = event.lines().find_map(|l| l.strip_prefix("data: "))?;
        if data == "[DONE]" {
            let whole = self.next == self.parts;
            return Some(if whole {
                ReadState::Whole
            } else {
                ReadState::Wrong
            });
        }
        let value: Value = serde_json::from_str(data).unwrap_or_default();
        let text = value["choices"][0]["delta"]["content"].as_str();
        if text != Some(expected_part(self.body, self.next).as_str()) {
            return Some(ReadState::Wrong);
        }
        if let Some(id) = event.lines().find_map(|l| l.strip_prefix("id: ")) {
            id.clone_into(&mut self.last_id);
        }
        let now = Instant::now();
        if self.next == 0 {
            self.timing.first = now - self.start;
        } else {
            self.timing.gaps.push(now - self.last);
        }
        self.last = now;
        self.next += 1;
        None
    }
}
