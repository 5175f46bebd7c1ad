//! One request of a caller that repeats and resumes as the interface allows.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bulrushhoist_standin::{expected_part, expected_parts};
use futures_util::StreamExt as _;
use reqwest::{Client, Response};
use serde_json::Value;
use tokio::time::Instant;

use crate::entries::Entries;

/// Maximum number of times that a caller repeats a request that was not run or got
/// no answer.
const MAX_REPEATS: usize = 2;
/// Maximum number of times that a caller resumes a stream at another entry.
const MAX_RESUMES: usize = 3;

/// Outcome of a request for its caller.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Outcome {
    /// The answer was complete and correct.
    Complete(Timing),
    /// The request was refused, with this reason and execution state.
    Refused(String, String),
    /// The answer ended before it was complete.
    Partial,
    /// The answer is not the expected one, for example because parts are missing.
    Wrong,
    /// No complete answer arrived in time.
    TimedOut,
    /// No answer arrived: no entry was found, no ticket was issued or the connection
    /// failed.
    Failed,
}

/// Times of a complete answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Timing {
    /// Time from the answered attempt of a completion to the first part, or from the
    /// first attempt of a call to its answer.
    pub(crate) first: Duration,
    /// Time between consecutive parts.
    pub(crate) gaps: Vec<Duration>,
    /// Number of times that the stream was resumed at another entry.
    pub(crate) resumes: usize,
}

/// A caller's client, token and settings.
#[derive(Clone)]
pub(crate) struct Caller {
    pub(crate) client: Client,
    pub(crate) entries: Arc<Entries>,
    pub(crate) token: String,
    pub(crate) timeout: Duration,
    pub(crate) repeats: bool,
}

impl Caller {
    /// Requests a streamed completion and reads it to its end.
    pub(crate) async fn complete(&self, body: String) -> Outcome {
        let outcome = tokio::time::timeout(self.timeout, self.complete_with_repeats(body)).await;
        outcome.unwrap_or(Outcome::TimedOut)
    }

    async fn complete_with_repeats(&self, body: String) -> Outcome {
        let mut avoid = None;
        let mut last = Outcome::Failed;
        for _ in 0..=MAX_REPEATS {
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
                Ok(response) => read_refusal(response).await,
                Err(_) => Outcome::Failed,
            };
            let repeatable = match &last {
                Outcome::Failed => true,
                Outcome::Refused(_, execution) => execution == "not_run",
                _ => false,
            };
            if !repeatable || !self.repeats {
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
    ) -> Outcome {
        let mut reader = StreamReader::new(body, start);
        let mut state = reader.read(response).await;
        let mut avoid = entry;
        while state == ReadResult::Interrupted && reader.timing.resumes < MAX_RESUMES {
            reader.timing.resumes += 1;
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
                _ => ReadResult::Interrupted,
            };
        }
        match state {
            ReadResult::Complete => Outcome::Complete(reader.timing),
            ReadResult::Wrong => Outcome::Wrong,
            ReadResult::Interrupted => Outcome::Partial,
        }
    }

    /// Makes a non-idempotent call under a ticket.
    ///
    /// Without an answer the call is repeated under the same ticket, so that it
    /// runs at most once.
    pub(crate) async fn call(&self, service: &str, path: &str, body: String) -> Outcome {
        let outcome =
            tokio::time::timeout(self.timeout, self.call_with_repeats(service, path, body));
        outcome.await.unwrap_or(Outcome::TimedOut)
    }

    async fn call_with_repeats(&self, service: &str, path: &str, body: String) -> Outcome {
        let start = Instant::now();
        let mut avoid = None;
        let mut ticket: Option<String> = None;
        let mut last = Outcome::Failed;
        for _ in 0..=MAX_REPEATS {
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
                Ok(response) => read_refusal(response).await,
                Err(_) => Outcome::Failed,
            };
            match &last {
                // This ticket can no longer run the call, so a new one is needed.
                Outcome::Refused(_, execution) if execution == "not_run" => ticket = None,
                Outcome::Failed => {}
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

async fn read_refusal(response: Response) -> Outcome {
    let problem: Value = response.json().await.unwrap_or_default();
    let field = |name: &str| problem[name].as_str().unwrap_or("none").to_owned();
    Outcome::Refused(field("reason"), field("execution"))
}

async fn check_call(response: Response, body: &str, start: Instant) -> Outcome {
    let Ok(answer) = response.json::<Value>().await else {
        return Outcome::Partial;
    };
    if answer["done"].as_str() != Some(body) {
        return Outcome::Wrong;
    }
    Outcome::Complete(Timing {
        first: start.elapsed(),
        ..Timing::default()
    })
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadResult {
    Complete,
    Interrupted,
    Wrong,
}

/// Reads a stream over one or several connections and checks its parts.
struct StreamReader<'a> {
    body: &'a [u8],
    parts: u64,
    next: u64,
    last: Instant,
    start: Instant,
    timing: Timing,
    last_id: String,
}

impl<'a> StreamReader<'a> {
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

    async fn read(&mut self, response: Response) -> ReadResult {
        let mut chunks = response.bytes_stream();
        let mut buffer = Vec::new();
        while let Some(Ok(chunk)) = chunks.next().await {
            buffer.extend_from_slice(&chunk);
            while let Some(at) = buffer.windows(2).position(|w| w == b"\n\n") {
                let event: Vec<u8> = buffer.drain(..at + 2).collect();
                match self.read_event(&String::from_utf8_lossy(&event)) {
                    Some(state) => return state,
                    None => continue,
                }
            }
        }
        ReadResult::Interrupted
    }

    /// Reads one event; returns the result if it ends the stream.
    fn read_event(&mut self, event: &str) -> Option<ReadResult> {
        if event.starts_with("event: error") {
            return Some(ReadResult::Interrupted);
        }
        let data = event.lines().find_map(|l| l.strip_prefix("data: "))?;
        if data == "[DONE]" {
            let complete = self.next == self.parts;
            return Some(if complete {
                ReadResult::Complete
            } else {
                ReadResult::Wrong
            });
        }
        let value: Value = serde_json::from_str(data).unwrap_or_default();
        let text = value["choices"][0]["delta"]["content"].as_str();
        if text != Some(expected_part(self.body, self.next).as_str()) {
            return Some(ReadResult::Wrong);
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
