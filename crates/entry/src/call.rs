//! Turns a caller's request into a [`Call`] that can be sent to endpoints.
//!
//! Every request passes the same checks: route, key, body size and body timeout.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bulrushhoist_core::{Fingerprint, Time, stable_hash};
use bulrushhoist_fleet::{CallKind, Catalog, Denial, Name, Route, SharedParts, Work};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName, HeaderValue,
    TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::http::request::Parts;
use hyper::{Method, Uri};
use rand::RngExt as _;

use crate::kept::BodyError;
use crate::node::Node;
use crate::outcome::Refusal;

/// Expected number of output tokens of a request that does not say.
const DEFAULT_ANSWER_TOKENS: u32 = 100;

/// Maximum number of shared parts of a prompt that are told apart.
pub(crate) const MAX_SHARED_PARTS: usize = 16;

/// A request that passed all checks and may be sent to endpoints.
pub(crate) struct Call {
    pub(crate) id: HeaderValue,
    pub(crate) received: Time,
    /// When the caller stops waiting, or the route's timeout if that is earlier.
    pub(crate) deadline: Time,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Name,
    pub(crate) team: Option<Name>,
    /// What its caller sent as `Authorization`.
    pub(crate) key: Option<HeaderValue>,
    /// Priority; 0 is the most urgent.
    pub(crate) priority: u8,
    pub(crate) model: Option<Name>,
    pub(crate) work: Work,
    pub(crate) fingerprint: Fingerprint,
    /// The parts of the prompt that other requests may share.
    pub(crate) parts: SharedParts,
    pub(crate) method: Method,
    pub(crate) target: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Call {
    /// Returns the request's id as text, for logs.
    pub(crate) fn id_text(&self) -> &str {
        self.id.to_str().unwrap_or("?")
    }

    /// Returns the time by which the route's latency objective wants the first part of
    /// the answer.
    pub(crate) fn objective(&self) -> Time {
        self.received + self.route.objective
    }
}

/// Where a request goes and for whom, from its path and headers alone.
struct Routing {
    route: Arc<Route>,
    service: Name,
    team: Option<Name>,
    priority: u8,
}

fn text<'h>(headers: &'h HeaderMap, name: &HeaderName) -> Option<&'h str> {
    headers.get(name).and_then(|v| v.to_str().ok())
}

/// Returns the id that a request carries, or an empty one.
pub(crate) fn request_id(node: &Node, headers: &HeaderMap) -> HeaderValue {
    let id = headers.get(&node.dialect.headers().request_id);
    id.cloned().unwrap_or_else(|| HeaderValue::from_static(""))
}

/// Checks a request and reads its body, whose rest is left in `body` if the request is refused.
pub(crate) async fn accept(
    node: &Node,
    received: Time,
    parts: Parts,
    body: &mut Incoming,
) -> Result<Call, Refusal> {
    let catalog = node.state.borrow().catalog.clone();
    let limits = catalog.limits().ok_or(Refusal::NoConfiguration)?;
    let routing = resolve_routing(node, &catalog, &parts)?;
    let names = node.dialect.headers();
    let timeout = text(&parts.headers, &names.deadline).and_then(|v| v.trim().parse().ok());
    let timeout = timeout.map_or(routing.route.timeout, Duration::from_millis);
    let deadline = received + timeout.min(routing.route.timeout);
    let body = read_body(
        node,
        body,
        limits.max_body_bytes,
        limits.idle_timeout,
        deadline,
    )
    .await?;
    let key = text(&parts.headers, &AUTHORIZATION).unwrap_or_default();
    let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
    let fingerprint = stable_hash([path.as_bytes(), key.as_bytes(), &body[..]]);
    let target = Uri::try_from(path).map_err(|_| Refusal::BadRequest)?;
    let mut call = Call {
        id: request_id(node, &parts.headers),
        received,
        deadline,
        service: routing.service.clone(),
        team: routing.team,
        key: parts.headers.get(AUTHORIZATION).cloned(),
        priority: routing.priority,
        model: text(&parts.headers, &names.model).map(Name::from),
        work: estimate_work(node, &parts.headers),
        parts: shared_parts(node, &routing.service, &parts.headers),
        fingerprint: Fingerprint::new(fingerprint),
        method: parts.method,
        target,
        headers: parts.headers,
        body,
        route: routing.route,
    };
    prepare_headers(node, &mut call);
    Ok(call)
}

/// Finds the route, team and service of a request, before its body is read.
fn resolve_routing(node: &Node, catalog: &Rc<Catalog>, parts: &Parts) -> Result<Routing, Refusal> {
    let host = parts.uri.authority().map(|a| a.as_str());
    let host = host
        .or_else(|| text(&parts.headers, &HOST))
        .unwrap_or_default();
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    let route = catalog.route(name, parts.uri.path()).map_err(to_refusal)?;
    let value = text(&parts.headers, &AUTHORIZATION);
    let key = value.and_then(|v| node.dialect.parse_caller_key(v));
    let team = catalog.team(route, key).map_err(to_refusal)?;
    let draw: f64 = node.state.borrow_mut().rng.random();
    let service = route.pick_service(draw).ok_or(Refusal::NoEndpoint)?.clone();
    Ok(Routing {
        service,
        priority: team.and_then(|t| t.priority).unwrap_or(route.priority),
        team: team.map(|t| t.name.clone()),
        route: route.clone(),
    })
}

const fn to_refusal(denial: Denial) -> Refusal {
    match denial {
        Denial::NoRoute => Refusal::NoRoute,
        Denial::UnknownKey => Refusal::UnknownKey,
    }
}

/// Reads a request's body, which must arrive completely before the deadline and within
/// `timeout`.
async fn read_body(
    node: &Node,
    body: &mut Incoming,
    max_bytes: usize,
    timeout: Duration,
    deadline: Time,
) -> Result<Bytes, Refusal> {
    let limit = node
        .clock
        .instant(deadline)
        .min(tokio::time::Instant::now() + timeout);
    let read = tokio::time::timeout_at(limit, node.body_memory.read(body, max_bytes)).await;
    match read {
        Err(_) => Err(Refusal::SlowBody),
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BodyError::TooLarge)) => Err(Refusal::TooLarge),
        Ok(Err(BodyError::NoRoom)) => Err(Refusal::NoRoom),
        Ok(Err(BodyError::Incomplete(_))) => Err(Refusal::BadRequest),
    }
}

/// Returns the expected prompt and output tokens of a request.
fn estimate_work(node: &Node, headers: &HeaderMap) -> Work {
    let names = node.dialect.headers();
    let tokens = text(headers, &names.tokens).and_then(|v| node.dialect.parse_token_counts(v));
    let hint = text(headers, &names.length_hint).and_then(|v| v.trim().parse().ok());
    let (prompt_tokens, max_output) = tokens.unwrap_or((0, DEFAULT_ANSWER_TOKENS));
    Work {
        prompt_tokens,
        answer_tokens: hint.unwrap_or(max_output).min(max_output),
    }
}

/// Returns the fingerprints of the shared parts of a prompt. Equal parts at different
/// services are run by different engines, so they differ.
fn shared_parts(node: &Node, service: &str, headers: &HeaderMap) -> SharedParts {
    let value = text(headers, &node.dialect.headers().prompt_parts).unwrap_or_default();
    let ids = node.dialect.parse_shared_parts(value);
    let hash = |id: &&str| Fingerprint::new(stable_hash([service.as_bytes(), id.as_bytes()]));
    ids.iter().take(MAX_SHARED_PARTS).map(hash).collect()
}

/// Headers that concern one connection or the framing of one message, which a proxy must
/// not forward.
const HOP_BY_HOP_HEADERS: [HeaderName; 7] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Removes [`HOP_BY_HOP_HEADERS`], also those that the `Connection` header names.
pub(crate) fn strip_hop_by_hop_headers(headers: &mut HeaderMap) {
    let listed = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok());
    let named = listed.flat_map(|v| v.split(','));
    let named: Vec<HeaderName> = named.filter_map(|n| n.trim().parse().ok()).collect();
    for name in named.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}

/// Removes the headers that endpoints must not receive and sets those that the system
/// sends to every endpoint.
fn prepare_headers(node: &Node, call: &mut Call) {
    let names = node.dialect.headers();
    strip_hop_by_hop_headers(&mut call.headers);
    for name in [
        &AUTHORIZATION,
        &names.team,
        &names.expected_endpoint,
        &names.deadline,
    ] {
        call.headers.remove(name);
    }
    if let Some(team) = &call.team
        && let Ok(value) = HeaderValue::from_str(team)
    {
        call.headers.insert(names.team.clone(), value);
    }
    if call.route.kind == CallKind::Stream {
        call.headers.insert(
            names.priority.clone(),
            HeaderValue::from(u16::from(call.priority.min(9))),
        );
    }
}
