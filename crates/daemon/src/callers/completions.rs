//! `POST /v1/chat/completions`: completions, streamed or whole.

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
use super::filters::{Caller, body, caller, take_count};
use super::fingerprint;
use super::forward::{FORWARDED_HEADER, pass_on};
use super::refusals::{REQUEST_ID_HEADER, problem, refuse, set_request_id};
use super::run::CompletionRun;
use crate::node::Node;

/// Bytes of the prompt's start by which cached prefixes are found.
const PREFIX_BYTES: usize = 256;
/// Time between two looks for an entry that has a place.
const PLACE_CHECK: Duration = Duration::from_millis(50);

/// The parts of a completion's body that the daemon reads.
#[derive(Deserialize)]
struct CompletionBody<'a> {
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(borrow)]
    messages: &'a RawValue,
}

/// One part of an answer as engines send it.
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

pub(super) struct Completions {
    node: Arc<Node>,
}

impl Completions {
    pub(super) fn new(node: &Arc<Node>) -> Self {
        Self {
            node: Arc::clone(node),
        }
    }

    fn prepare(
        &self,
        id: RequestId,
        caller: &Caller,
        body: &Bytes,
        forwardable: bool,
    ) -> Result<(CompletionRun, bool), Refusal> {
        let bad = |_| Refusal::not_run(Reason::BadRequest);
        let parsed: CompletionBody<'_> = serde_json::from_slice(body).map_err(bad)?;
        let view = self.node.view();
        let workload = view.deployment.workload(&parsed.model);
        let workload = workload.filter(|w| w.kind == WorkloadKind::Model);
        let workload = workload.ok_or(Refusal::not_run(Reason::UnknownWorkload))?;
        let prompt = parsed.messages.get().as_bytes();
        let prefix = &prompt[..prompt.len().min(PREFIX_BYTES)];
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

/// Where a completion runs.
enum Placement {
    /// Here; this is the first event of its answer.
    Here(StreamEvent),
    /// At this entry, which has places at the model's replicas.
    Entry(SocketAddr),
}

impl Completions {
    /// Starts a completion here, or finds another entry for it. While no entry
    /// is known to have a place, as just after a start, it waits for one.
    async fn place(&self, run: &mut CompletionRun) -> Result<Placement, Refusal> {
        let no_share = Refusal::not_run(Reason::NoShare);
        loop {
            match run.next_event().await {
                Ok(first) => return Ok(Placement::Here(first)),
                Err(refusal) if refusal == no_share => {}
                Err(refusal) => return Err(refusal),
            }
            let request = run.request();
            if let Some(entry) = choose_entry(&self.node, &request.workload) {
                return Ok(Placement::Entry(entry));
            }
            if self.node.now() >= request.deadline {
                return Err(no_share);
            }
            tokio::time::sleep(PLACE_CHECK).await;
        }
    }

    /// Lets another entry answer.
    async fn forward(
        &self,
        target: SocketAddr,
        req: &Request,
        depot: &mut Depot,
        res: &mut Response,
        id: RequestId,
        body: Bytes,
    ) {
        self.node.note(id, format!("passed on to {target}"));
        let Ok(answer) = pass_on(&self.node, target, req, body).await else {
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
        let open = take_count(depot);
        let mut chunks = answer.bytes_stream();
        res.stream(async_stream::stream! {
            let _open = open;
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
            .note(id, format!("completion of team {}", caller.team));
        let forwardable = !req.headers().contains_key(FORWARDED_HEADER);
        let prepared = self.prepare(id, &caller, &body, forwardable);
        let (mut run, stream) = match prepared {
            Ok(prepared) => prepared,
            Err(refusal) => return refuse(&self.node, res, Some(id), refusal),
        };
        let first = match self.place(&mut run).await {
            Ok(Placement::Here(first)) => first,
            Ok(Placement::Entry(entry)) => {
                return self.forward(entry, req, depot, res, id, body).await;
            }
            Err(refusal) => return refuse(&self.node, res, Some(id), refusal),
        };
        set_request_id(res, id);
        if stream {
            let open = take_count(depot);
            let node = Arc::clone(&self.node);
            res.headers_mut()
                .insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
            res.stream(async_stream::stream! {
                let _open = open;
                let mut event = first;
                loop {
                    yield Ok::<_, Infallible>(render(id, run.endpoint(), &event));
                    if matches!(event, StreamEvent::End { .. }) {
                        break;
                    }
                    event = match run.next_event().await {
                        Ok(event) => event,
                        Err(refusal) => {
                            node.metrics.on_refusal(refusal);
                            node.note(id, format!("cut off: {refusal}"));
                            yield Ok(render_refusal(id, refusal));
                            break;
                        }
                    };
                }
            });
            return;
        }
        match collect(&mut run, first).await {
            Ok(text) => res.render(Json(whole_answer(id, &text))),
            Err(refusal) => refuse(&self.node, res, Some(id), refusal),
        }
    }
}

/// Renders one event for the caller. Its id is all that an entry needs to
/// resume the stream after it.
pub(super) fn render(id: RequestId, endpoint: Option<SocketAddr>, event: &StreamEvent) -> Bytes {
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

/// Renders the refusal of a stream that cannot go on.
pub(super) fn render_refusal(id: RequestId, refusal: Refusal) -> Bytes {
    format!("event: error\ndata: {}\n\n", problem(Some(id), refusal)).into()
}

async fn collect(run: &mut CompletionRun, first: StreamEvent) -> Result<String, Refusal> {
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

fn whole_answer(id: RequestId, text: &str) -> serde_json::Value {
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
