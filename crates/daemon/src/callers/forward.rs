//! Forwards requests to other entries: to a ticket's owner, or to an entry that has
//! slots at the model's replicas.

use std::net::SocketAddr;

use bulrushhoist_core::{Answer, Incarnation, ObjectKey, Reason, Refusal, Ticket, TicketSnapshot};
use bytes::Bytes;
use reqwest::{Method, RequestBuilder};
use salvo::Request;
use salvo::http::HeaderMap;

use super::refusals::{REQUEST_ID_HEADER, TICKET_HEADER};
use crate::node::Node;

/// Header that marks a forwarded request, so that it is not forwarded again.
pub(super) const FORWARDED_HEADER: &str = "x-forwarded-by-entry";
/// Headers of the caller that are copied to a forwarded request.
const COPIED_HEADERS: [&str; 2] = ["authorization", "content-type"];

/// A request to forward to another entry.
pub(super) struct ForwardedRequest<'a> {
    pub(super) method: &'a str,
    /// Path with its query.
    pub(super) path: &'a str,
    pub(super) headers: &'a HeaderMap,
    pub(super) body: bytes::Bytes,
}

/// Builds a request to another entry with the copied headers of the caller.
fn request_to_entry(
    node: &Node,
    entry: SocketAddr,
    method: Method,
    path: &str,
    headers: &HeaderMap,
) -> RequestBuilder {
    let url = format!("http://{entry}{path}");
    let mut builder = node
        .forwarder
        .request(method, url)
        .header(FORWARDED_HEADER, node.id.to_string());
    for name in COPIED_HEADERS {
        if let Some(value) = headers.get(name) {
            builder = builder.header(name, value.as_bytes());
        }
    }
    builder
}

/// Forwards a completion to another entry and returns its response.
///
/// It returns once the headers have arrived; the body is read as a stream.
pub(super) async fn forward_completion(
    node: &Node,
    entry: SocketAddr,
    req: &Request,
    body: Bytes,
) -> Result<reqwest::Response, reqwest::Error> {
    let path = req.uri().path_and_query().map_or("/", |p| p.as_str());
    let builder = request_to_entry(node, entry, Method::POST, path, req.headers());
    builder.body(body).send().await
}

/// Returns the registered address of a ticket's owner.
///
/// The address in the ticket is not used, because a caller can change it.
fn owner_address(node: &Node, ticket: &Ticket) -> Option<SocketAddr> {
    let view = node.view();
    let mut daemons = view.register.daemons.iter();
    let owner = daemons.find(|d| d.incarnation == ticket.incarnation)?;
    Some(owner.caller_address)
}

/// Forwards a request to the ticket's owner and returns the owner's answer.
///
/// If the owner is no longer registered, its stored ticket snapshot decides what
/// the refusal says.
pub(super) async fn forward_to_owner(
    node: &Node,
    ticket: &Ticket,
    request: ForwardedRequest<'_>,
) -> Result<Answer, Refusal> {
    let Some(owner) = owner_address(node, ticket) else {
        return Err(refusal_from_snapshot(node, ticket.incarnation, ticket.sequence).await);
    };
    let unreachable = |_| Refusal::unknown(Reason::OwnerUnreachable);
    let method = Method::from_bytes(request.method.as_bytes())
        .map_err(|_| Refusal::unknown(Reason::BadRequest))?;
    let builder = request_to_entry(node, owner, method, request.path, request.headers)
        .header(TICKET_HEADER, ticket.to_string())
        .body(request.body);
    let response = builder.send().await.map_err(unreachable)?;
    let has_request_id = response.headers().contains_key(REQUEST_ID_HEADER);
    if !has_request_id {
        return Err(Refusal::unknown(Reason::OwnerUnreachable));
    }
    let status = response.status().as_u16();
    let content_type = response
        .headers()
        .get("content-type")
        .and_then(|v| v.to_str().ok())
        .map(str::to_owned);
    let body = response.bytes().await.map_err(unreachable)?.to_vec();
    Ok(Answer {
        status,
        content_type,
        body,
    })
}

/// Builds the refusal for a ticket whose owner has left the register.
///
/// The snapshot that the owner stored at its planned stop tells whether the
/// request ran. Without one the execution is unknown.
async fn refusal_from_snapshot(node: &Node, incarnation: Incarnation, sequence: u64) -> Refusal {
    let unknown = Refusal::unknown(Reason::OwnerUnreachable);
    let read = node
        .store
        .read::<TicketSnapshot>(&ObjectKey::ticket_snapshot(incarnation))
        .await;
    match read {
        Ok(Some(snapshot)) => snapshot.envelope.body.refusal(sequence),
        Ok(None) | Err(_) => unknown,
    }
}
