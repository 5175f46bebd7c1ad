//! `GET /v1/streams`: goes on with a stream after the event that the caller
//! names in `Last-Event-ID`. Resuming attaches to the stream; it starts none.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use bulrushhoist_core::{Reason, Refusal, RequestId};
use bulrushhoist_engine::{EndpointError, StreamEvent};
use futures_util::StreamExt as _;
use salvo::http::header::{CONTENT_TYPE, HeaderValue};
use salvo::prelude::{Depot, FlowCtrl, Handler, Request, Response};

use super::completions::{render, render_refusal};
use super::filters::take_count;
use super::refusals::{refuse, set_request_id};
use crate::node::Node;

pub(super) struct Resume {
    node: Arc<Node>,
}

impl Resume {
    pub(super) fn new(node: &Arc<Node>) -> Self {
        Self {
            node: Arc::clone(node),
        }
    }

    /// Whether an address is an endpoint of this deployment: nothing else may
    /// be contacted on a caller's word.
    fn is_endpoint(&self, address: SocketAddr) -> bool {
        let view = self.node.view();
        view.groups()
            .any(|(_, g)| g.members.first().is_some_and(|m| m.address == address))
    }
}

/// Reads an event id: `s1_ENDPOINT_REQUEST_OFFSET`.
fn parse(event: &str) -> Option<(SocketAddr, RequestId, u64)> {
    let mut parts = event.split('_');
    if parts.next()? != "s1" {
        return None;
    }
    let endpoint = parts.next()?.parse().ok()?;
    let id = parts.next()?.parse().ok()?;
    let offset = parts.next()?.parse().ok()?;
    parts.next().is_none().then_some((endpoint, id, offset))
}

#[salvo::async_trait]
impl Handler for Resume {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let last = req
            .headers()
            .get("last-event-id")
            .and_then(|v| v.to_str().ok());
        let Some((endpoint, id, offset)) = last.and_then(parse) else {
            return refuse(&self.node, res, None, Refusal::unknown(Reason::BadRequest));
        };
        if !self.is_endpoint(endpoint) {
            return refuse(
                &self.node,
                res,
                Some(id),
                Refusal::unknown(Reason::StreamGone),
            );
        }
        self.node
            .note(id, format!("resumed by the caller after part {offset}"));
        let mut stream = match self.node.endpoints.resume(endpoint, id, offset + 1).await {
            Ok(stream) => stream,
            Err(error) => {
                let reason = match error {
                    EndpointError::NotFound => Reason::StreamGone,
                    _ => Reason::EndpointFailed,
                };
                return refuse(&self.node, res, Some(id), Refusal::unknown(reason));
            }
        };
        set_request_id(res, id);
        res.headers_mut()
            .insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        let open = take_count(depot);
        let node = Arc::clone(&self.node);
        res.stream(async_stream::stream! {
            let _open = open;
            loop {
                match stream.next().await {
                    Some(Ok(event)) => {
                        yield Ok::<_, Infallible>(render(id, Some(endpoint), &event));
                        if matches!(event, StreamEvent::End { .. }) {
                            break;
                        }
                    }
                    Some(Err(_)) | None => {
                        let refusal = Refusal::unknown(Reason::EndpointFailed);
                        node.metrics.on_refusal(refusal);
                        yield Ok(render_refusal(id, refusal));
                        break;
                    }
                }
            }
        });
    }
}
