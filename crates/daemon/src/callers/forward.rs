//! Forwarding a request to the entry that owns its ticket.

use std::net::SocketAddr;

use bulrushhoist_core::{Answer, Incarnation, ObjectKey, Reason, Refusal, Ticket, TicketSnapshot};
use bytes::Bytes;
use reqwest::{Method, RequestBuilder};
use salvo::Request;
use salvo::http::HeaderMap;

use super::refusals::{REQUEST_ID_HEADER, TICKET_HEADER};
use crate::node::Node;

/// Header that marks a forwarded request, which is not forwarded again.
pub(super) const FORWARDED_HEADER: &str = "x-forwarded-by-entry";
/// Headers that go along with a forwarded request.
const KEPT_HEADERS: [&str; 2] = ["authorization", "content-type"];

/// A request on its way to another entry.
pub(super) struct Forwarded<'a> {
    pub(super) method: &'a str,
    pub(super) path: &'a str,
    pub(super) headers: &'a HeaderMap,
    pub(super) body: bytes::Bytes,
}

/// Prepares a request to another entry with what goes along of the caller's.
fn entry_call(
    node: &Node,
    entry: SocketAddr,
    method: Method,
    path: &str,
    headers: &HeaderMap,
) -> RequestBuilder {
    let url = format!("http://{entry}{path}");
    let mut call = node
        .forwarder
        .request(method, url)
        .header(FORWARDED_HEADER, node.id.to_string());
    for name in KEPT_HEADERS {
        if let Some(value) = headers.get(name) {
            call = call.header(name, value.as_bytes());
        }
    }
    call
}

/// Passes a completion on to another entry and returns its answer, whose body
/// may still be on its way.
pub(super) async fn pass_on(
    node: &Node,
    entry: SocketAddr,
    req: &Request,
    body: Bytes,
) -> Result<reqwest::Response, reqwest::Error> {
    let path = req.uri().path_and_query().map_or("/", |p| p.as_str());
    let call = entry_call(node, entry, Method::POST, path, req.headers());
    call.body(body).send().await
}

/// Returns the registered address of a ticket's owner. The address that the
/// ticket names is not used: a caller can change it.
fn owner_address(node: &Node, ticket: &Ticket) -> Option<SocketAddr> {
    let view = node.view();
    let mut daemons = view.register.daemons.iter();
    let owner = daemons.find(|d| d.incarnation == ticket.incarnation)?;
    Some(owner.caller)
}

/// Sends a request to the ticket's owner and returns the owner's answer.
pub(super) async fn forward(
    node: &Node,
    ticket: &Ticket,
    request: Forwarded<'_>,
) -> Result<Answer, Refusal> {
    let Some(owner) = owner_address(node, ticket) else {
        return Err(settle(node, ticket.incarnation, ticket.sequence).await);
    };
    let unreachable = |_| Refusal::unknown(Reason::OwnerUnreachable);
    let method = Method::from_bytes(request.method.as_bytes())
        .map_err(|_| Refusal::unknown(Reason::BadRequest))?;
    let call = entry_call(node, owner, method, request.path, request.headers)
        .header(TICKET_HEADER, ticket.to_string())
        .body(request.body);
    let response = call.send().await.map_err(unreachable)?;
    let named = response.headers().contains_key(REQUEST_ID_HEADER);
    if !named {
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

/// Says what is known of a ticket whose owner has gone: what the owner sealed
/// at its planned stop, or nothing.
async fn settle(node: &Node, incarnation: Incarnation, sequence: u64) -> Refusal {
    let unknown = Refusal::unknown(Reason::OwnerUnreachable);
    let read = node
        .store
        .read::<TicketSnapshot>(&ObjectKey::ticket_snapshot(incarnation))
        .await;
    match read {
        Ok(Some(seal)) => seal.envelope.body.refusal(sequence),
        Ok(None) | Err(_) => unknown,
    }
}
