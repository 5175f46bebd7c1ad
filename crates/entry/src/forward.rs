//! Forwards requests to another entry while this one has no way to the endpoints.
//!
//! Callers, the store and the other entries still reach such an entry, so its peers can serve
//! its callers. A peer treats a forwarded request like one of a caller, with the time that is
//! left, and never forwards it again. A request is sent to a second peer only if the first
//! one cannot have run it, or if it may run more than once. See
//! `docs/decisions/0018-requests-through-peers.md`.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bulrushhoist_core::Time;
use bulrushhoist_fleet::{CallKind, Name};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::{AUTHORIZATION, HeaderMap, HeaderName, HeaderValue};
use hyper::http::response::Parts;
use rand::seq::IteratorRandom as _;
use slog::info;
use smallvec::SmallVec;

use crate::body::{AnswerBody, Forwarded};
use crate::call::Call;
use crate::connection::{Connection, ConnectionError};
use crate::node::Node;
use crate::outcome::Refusal;

/// Header of a request that another entry has forwarded. Only the listener for peers reads it.
const FORWARDED: HeaderName = HeaderName::from_static("bulrushhoist-forwarded");
/// Timeout for opening a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Peers to which a request is sent at most.
const MAX_PEERS: usize = 2;

/// Where a request comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestSource {
    Caller,
    /// Another entry, which has no way to the endpoints.
    Peer,
}

/// Returns whether a request at the listener for peers is a forwarded one, and removes the
/// mark, which endpoints must not receive.
pub(crate) fn take_mark(headers: &mut HeaderMap) -> bool {
    headers.remove(&FORWARDED).is_some()
}

/// Returns whether a call should go through a peer: this entry has no way to the endpoints,
/// and a peer has one. Calls that are bound to regions stay here.
pub(crate) fn is_needed(node: &Node, call: &Call, source: RequestSource) -> bool {
    source == RequestSource::Caller
        && call.route.regions.is_empty()
        && node.is_cut_off()
        && choose_peer(node, &[]).is_some()
}

/// Returns a live peer that reaches endpoints, one of this data centre if there is any.
fn choose_peer(node: &Node, tried: &[Name]) -> Option<(Name, SocketAddr)> {
    let mut state = node.state.borrow_mut();
    let state = &mut *state;
    let usable = || {
        let live = state.peers.live();
        let live = live.filter(|(_, status)| status.ready && !status.cut_off);
        live.map(|(entry, _)| entry)
            .filter(|entry| !tried.contains(&entry.name))
    };
    let nearby = usable().filter(|e| e.data_centre == node.settings.data_centre);
    let chosen = nearby
        .choose(&mut state.rng)
        .or_else(|| usable().choose(&mut state.rng))?;
    Some((chosen.name.clone(), chosen.peers))
}

/// Sends a call to peers until one answers. Returns the answer and the peer that gave it.
pub(crate) async fn run(
    node: &Rc<Node>,
    call: &Call,
) -> Result<(Parts, AnswerBody, Name), Refusal> {
    let mut tried: SmallVec<[Name; MAX_PEERS]> = SmallVec::new();
    let mut refusal = Refusal::NoEndpoint;
    while tried.len() < MAX_PEERS {
        let Some((peer, address)) = choose_peer(node, &tried) else {
            break;
        };
        let sent = send(node, call, address).await;
        match sent {
            Ok((parts, body)) => {
                node.metrics.on_forwarded("answered");
                return Ok((parts, AnswerBody::Forwarded(body), peer));
            }
            Err(error) => {
                node.metrics.on_forwarded("failed");
                info!(node.log, "not forwarded"; "request" => call.id_text(), "peer" => &*peer, "cause" => %error);
                if matches!(error, ConnectionError::TimedOut) {
                    return Err(Refusal::TimedOut);
                }
                if !error.is_unsent() {
                    refusal = Refusal::AnswerLost;
                    if !call.route.is_idempotent() {
                        break;
                    }
                }
            }
        }
        tried.push(peer);
    }
    Err(refusal)
}

/// Forwards a call that was refused while this entry noticed that it has no way to the
/// endpoints. One that may have run goes on only if it may be repeated.
pub(crate) async fn run_refused(
    node: &Rc<Node>,
    call: &Call,
    source: RequestSource,
    refusal: Refusal,
) -> Result<(Parts, AnswerBody, Name), Refusal> {
    if !is_needed(node, call, source) {
        return Err(refusal);
    }
    let may_go_on = match refusal {
        Refusal::NoEndpoint | Refusal::EndpointRefused => true,
        Refusal::AnswerLost if call.route.is_idempotent() => {
            let (now, bounds) = (node.now(), node.bounds.get().retries);
            let mut state = node.state.borrow_mut();
            state.take_retry(now, &call.service, bounds)
        }
        _ => false,
    };
    if !may_go_on {
        return Err(refusal);
    }
    let answered = run(node, call).await;
    // What may have run before can't be refused as not run.
    answered.map_err(|later| match refusal {
        Refusal::AnswerLost => refusal,
        _ => later,
    })
}

async fn send(
    node: &Node,
    call: &Call,
    address: SocketAddr,
) -> Result<(Parts, Forwarded), ConnectionError> {
    let now = node.now();
    let mut connection = Connection::open(address, CONNECT_TIMEOUT, now).await?;
    let sent = connection.send(build_request(node, call, node.now()));
    let limit = node.clock.instant(call.deadline);
    let answered = tokio::time::timeout_at(limit, sent).await;
    let response = answered.unwrap_or(Err(ConnectionError::TimedOut))?;
    let (parts, body) = response.into_parts();
    let id = parts.headers.get(&node.dialect.headers().request_id);
    if !call.id.is_empty() && id != Some(&call.id) {
        // An entry of a build that doesn't know forwarded requests.
        return Err(ConnectionError::Incomplete("another id".to_owned()));
    }
    Ok((parts, Forwarded::new(body, connection)))
}

/// Builds the request as its caller sent it, with the time that is left.
fn build_request(node: &Node, call: &Call, now: Time) -> Request<Full<Bytes>> {
    let names = node.dialect.headers();
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.target.clone();
    let headers = request.headers_mut();
    *headers = call.headers.clone();
    headers.remove(&names.team);
    if call.route.kind == CallKind::Stream {
        headers.remove(&names.priority);
    }
    let left = call.deadline.since(now).as_millis();
    let left = u64::try_from(left).unwrap_or(u64::MAX).max(1);
    headers.insert(names.deadline.clone(), HeaderValue::from(left));
    if let Some(key) = &call.key {
        headers.insert(AUTHORIZATION, key.clone());
    }
    headers.insert(FORWARDED, HeaderValue::from_static("1"));
    request
}
