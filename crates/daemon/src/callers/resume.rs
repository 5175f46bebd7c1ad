//! `GET /v1/streams`: resumes a stream after the event in `Last-Event-ID`.
//!
//! Resuming attaches to a stream at its endpoint; it never starts one.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use bulrushhoist_core::{Reason, Refusal, RequestId};
use bulrushhoist_engine::{EndpointError, StreamEvent};
use futures_util::StreamExt as _;
use salvo::http::header::{CONTENT_TYPE, HeaderValue};
use salvo::prelude::{Depot, FlowCtrl, Handler, Request, Response};

use super::completions::{render_event, render_refusal};
use super::filters::take_open_request;
use super::refusals::{refuse, set_request_id};
use crate::node::Node;

/// Handles requests to resume a stream.
pub(super) struct Resume {
    node: Arc<Node>,
}

impl Resume {
    pub(super) fn new(node: &Arc<Node>) -> Self {
        Self {
            node: Arc::clone(node),
        }
    }

    /// Returns whether an address belongs to the leader of a group.
    ///
    /// The address comes from the caller's event id, so the daemon connects to it
    /// only if it is that of a known endpoint.
    fn is_leader(&self, address: SocketAddr) -> bool {
        let view = self.node.view();
        view.groups()
            .any(|(_, g)| g.members.first().is_some_and(|m| m.address == address))
    }
}

/// Parses an event id of the form `s1_ENDPOINT_REQUEST_OFFSET`.
fn parse_event_id(event: &str) -> Option<(SocketAddr, RequestId, u64)> {
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
        let last_event_id = req
            .headers()
            .get("last-event-id")
            .and_then(|v| v.to_str().ok());
        let Some((endpoint, id, offset)) = last_event_id.and_then(parse_event_id) else {
            return refuse(&self.node, res, None, Refusal::unknown(Reason::BadRequest));
        };
        if !self.is_leader(endpoint) {
            return refuse(
                &self.node,
                res,
                Some(id),
                Refusal::unknown(Reason::StreamGone),
            );
        }
        self.node.trace(
            id,
            format!("stream resumed by the caller after part {offset}"),
        );
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
        let open_request = take_open_request(depot);
        let node = Arc::clone(&self.node);
        res.stream(async_stream::stream! {
            let _open_request = open_request;
            loop {
                match stream.next().await {
                    Some(Ok(event)) => {
                        yield Ok::<_, Infallible>(render_event(id, Some(endpoint), &event));
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
