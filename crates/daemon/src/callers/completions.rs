//! `POST /v1/chat/completions`: completions, streamed or as one JSON answer.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bulrushhoist_core::{NewRequest, Reason, Refusal, RequestId, WorkloadKind, stable_hash};
use bulrushhoist_engine::StreamEvent;
use bytes::Bytes;
use futures_util::StreamExt as _;
use salvo::http::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use salvo::prelude::{Depot, FlowCtrl, Handler, Json, Request, Response};
use serde::Deserialize;
use serde_json::json;
use serde_json::value::RawValue;
use smallvec::SmallVec;

use super::entries::choose_entry;
use super::filters::{Caller, body, caller, take_open_request};
use super::fingerprint;
use super::forward::{FORWARDED_HEADER, forward_completion};
use super::refusals::{REQUEST_ID_HEADER, problem_json, refuse, set_request_id};
use super::run::CompletionRun;
use crate::node::Node;

/// Bytes at the start of the prompt that are hashed to route requests with the
/// same prefix to a replica that may have it cached.
const MAX_PREFIX_BYTES: usize = 256;
/// Interval at which a completion without a local share looks for an entry that has
/// slots at the model's replicas.
const ENTRY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Fields of a completion's body that the daemon reads.
///
/// The body itself is sent to the engine unchanged.
#[derive(Deserialize)]
struct CompletionBody<'a> {
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(borrow)]
    messages: &'a RawValue,
}

/// One chunk of a streamed answer, in the engines' JSON form.
#[derive(Deserialize)]
struct Chunk {
    choices: SmallVec<[ChunkChoice; 1]>,
}

#[derive(Deserialize)]
struct ChunkChoice {
    delta: Delta,
}

#[derive(Deserialize)]
struct Delta {
    #[serde(default)]
    content: String,
}

/// Handles completion requests.
pub(super) struct Completions {
    node: Arc<Node>,
}

impl Completions {
    pub(super) fn new(node: &Arc<Node>) -> Self {
        Self {
            node: Arc::clone(node),
        }
    }

    /// Parses a completion request and resolves its model; returns the run and
    /// whether the caller asked for a stream.
    fn prepare(
        &self,
        id: RequestId,
        caller: &Caller,
        body: &Bytes,
        forwardable: bool,
    ) -> Result<(CompletionRun, bool), Refusal> {
        let bad_request = |_| Refusal::not_run(Reason::BadRequest);
        let parsed: CompletionBody<'_> = serde_json::from_slice(body).map_err(bad_request)?;
        let view = self.node.view();
        let workload = view.deployment.workload(&parsed.model);
        let workload = workload.filter(|w| w.kind == WorkloadKind::Model);
        let workload = workload.ok_or(Refusal::not_run(Reason::UnknownWorkload))?;
        let prompt = parsed.messages.get().as_bytes();
        let prefix = &prompt[..prompt.len().min(MAX_PREFIX_BYTES)];
        let now = self.node.now();
        let request = NewRequest {
            id,
            team: caller.team.clone(),
            workload: workload.name.clone(),
            prefix: stable_hash([parsed.model.as_bytes(), prefix]),
            fingerprint: fingerprint(&parsed.model, "", body),
            deadline: now + workload.first_token,
            avoid: SmallVec::new(),
            forwardable,
        };
        Ok((
            CompletionRun::new(&self.node, request, body.clone(), now),
            parsed.stream,
        ))
    }
}

/// The daemon that serves a completion.
enum Destination {
    /// This daemon; holds the first event of the answer.
    Local(StreamEvent),
    /// Another entry, which has slots at the model's replicas.
    Forward(SocketAddr),
}

impl Completions {
    /// Starts a completion here or chooses another entry for it.
    ///
    /// A daemon without a share of any replica's slots forwards. Shortly after its
    /// start it may not know of any entry with slots, so this polls until it does or
    /// the request's deadline passes. A request that is still queued after half of its
    /// time is forwarded, too: callers choose entries without knowing their free slots.
    async fn start_or_choose_entry(&self, run: &mut CompletionRun) -> Result<Destination, Refusal> {
        let no_share = Refusal::not_run(Reason::NoShare);
        loop {
            match self.first_event(run).await {
                Ok(first) => return Ok(Destination::Local(first)),
                Err(refusal) if refusal == no_share => {}
                Err(refusal) => return Err(refusal),
            }
            let request = run.request();
            if let Some(entry) = choose_entry(&self.node, &request.workload) {
                return Ok(Destination::Forward(entry));
            }
            if self.node.now() >= request.deadline {
                return Err(no_share);
            }
            tokio::time::sleep(ENTRY_POLL_INTERVAL).await;
        }
    }

    /// Waits for the first event, and gives the request back halfway if it is queued here
    /// and another entry has slots.
    async fn first_event(&self, run: &mut CompletionRun) -> Result<StreamEvent, Refusal> {
        let (id, workload) = (run.request().id, run.request().workload.clone());
        let wait = run.request().deadline.since(self.node.now()) / 2;
        let mut first = std::pin::pin!(run.next_event());
        if let Ok(event) = tokio::time::timeout(wait, &mut first).await {
            return event;
        }
        if choose_entry(&self.node, &workload).is_some() {
            self.node.release_queued(id);
        }
        first.await
    }

    /// Forwards the request to another entry and streams that entry's answer.
    async fn forward(
        &self,
        target: SocketAddr,
        req: &Request,
        depot: &mut Depot,
        res: &mut Response,
        id: RequestId,
        body: Bytes,
    ) {
        self.node.trace(id, format!("forwarded to {target}"));
        let Ok(answer) = forward_completion(&self.node, target, req, body).await else {
            let unknown = Refusal::unknown(Reason::OwnerUnreachable);
            return refuse(&self.node, res, Some(id), unknown);
        };
        res.status_code(answer.status());
        for name in [
            CONTENT_TYPE.as_str(),
            REQUEST_ID_HEADER,
            RETRY_AFTER.as_str(),
        ] {
            if let Some(value) = answer.headers().get(name)
                && let Ok(name) = HeaderName::from_bytes(name.as_bytes())
            {
                res.headers_mut().insert(name, value.clone());
            }
        }
        let open_request = take_open_request(depot);
        let mut chunks = answer.bytes_stream();
        res.stream(async_stream::stream! {
            let _open_request = open_request;
            while let Some(chunk) = chunks.next().await {
                yield chunk;
            }
        });
    }
}

#[salvo::async_trait]
impl Handler for Completions {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let id = RequestId::from(rand::random::<u128>());
        let Some(caller) = caller(depot) else { return };
        let body = body(depot);
        self.node
            .trace(id, format!("completion request from team {}", caller.team));
        let forwardable = !req.headers().contains_key(FORWARDED_HEADER);
        let prepared = self.prepare(id, &caller, &body, forwardable);
        let (mut run, stream) = match prepared {
            Ok(prepared) => prepared,
            Err(refusal) => return refuse(&self.node, res, Some(id), refusal),
        };
        let first = match self.start_or_choose_entry(&mut run).await {
            Ok(Destination::Local(first)) => first,
            Ok(Destination::Forward(entry)) => {
                return self.forward(entry, req, depot, res, id, body).await;
            }
            Err(refusal) => return refuse(&self.node, res, Some(id), refusal),
        };
        set_request_id(res, id);
        if stream {
            let open_request = take_open_request(depot);
            let node = Arc::clone(&self.node);
            res.headers_mut()
                .insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
            res.stream(async_stream::stream! {
                let _open_request = open_request;
                let mut event = first;
                loop {
                    yield Ok::<_, Infallible>(render_event(id, run.endpoint(), &event));
                    if matches!(event, StreamEvent::End { .. }) {
                        break;
                    }
                    event = match run.next_event().await {
                        Ok(event) => event,
                        Err(refusal) => {
                            node.metrics.on_refusal(refusal);
                            node.trace(id, format!("cut off: {refusal}"));
                            yield Ok(render_refusal(id, refusal));
                            break;
                        }
                    };
                }
            });
            return;
        }
        match collect_text(&mut run, first).await {
            Ok(text) => res.render(Json(complete_answer(id, &text))),
            Err(refusal) => refuse(&self.node, res, Some(id), refusal),
        }
    }
}

/// Renders one event of a stream as a server-sent event.
///
/// The event id holds the endpoint, the request and the offset, so that any entry
/// can resume the stream after it without stored state.
pub(super) fn render_event(
    id: RequestId,
    endpoint: Option<SocketAddr>,
    event: &StreamEvent,
) -> Bytes {
    let mut text = Vec::with_capacity(256);
    match event {
        StreamEvent::Part { offset, data } => {
            if let Some(endpoint) = endpoint {
                text.extend_from_slice(format!("id: s1_{endpoint}_{id}_{offset}\n").as_bytes());
            }
            text.extend_from_slice(b"data: ");
            text.extend_from_slice(data);
            text.extend_from_slice(b"\n\n");
        }
        StreamEvent::End { .. } => text.extend_from_slice(b"data: [DONE]\n\n"),
    }
    text.into()
}

/// Renders the error event that ends a stream which cannot continue.
pub(super) fn render_refusal(id: RequestId, refusal: Refusal) -> Bytes {
    format!(
        "event: error\ndata: {}\n\n",
        problem_json(Some(id), refusal)
    )
    .into()
}

/// Reads a stream to its end and returns the concatenated text.
async fn collect_text(run: &mut CompletionRun, first: StreamEvent) -> Result<String, Refusal> {
    let mut text = String::new();
    let mut event = first;
    while let StreamEvent::Part { data, .. } = &event {
        let chunk: Result<Chunk, _> = serde_json::from_slice(data);
        let chunk = chunk.map_err(|_| Refusal::unknown(Reason::EndpointFailed))?;
        text.extend(chunk.choices.into_iter().map(|c| c.delta.content));
        event = run.next_event().await?;
    }
    Ok(text)
}

/// Builds the JSON answer to a completion that is not streamed.
fn complete_answer(id: RequestId, text: &str) -> serde_json::Value {
    json!({
        "id": format!("chatcmpl-{id}"),
        "object": "chat.completion",
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": text },
            "finish_reason": "stop",
        }],
    })
}
