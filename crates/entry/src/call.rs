//! From a caller's request to a call that can be sent to endpoints: the filters
//! that every request passes.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bulrushhoist_core::{Fingerprint, Time, stable_hash};
use bulrushhoist_fleet::{CallKind, Catalog, Denial, Name, Route, Work};
use bytes::Bytes;
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName, HeaderValue,
    TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::http::request::Parts;
use hyper::{Method, Request, Uri};
use rand::RngExt as _;

use crate::node::Node;
use crate::outcome::Refusal;

/// Output tokens that are expected where the caller says nothing.
const DEFAULT_ANSWER_TOKENS: u32 = 100;

/// A request that may be sent to endpoints.
pub(crate) struct Call {
    pub(crate) id: HeaderValue,
    pub(crate) received: Time,
    /// Moment by which it must have its final answer.
    pub(crate) end: Time,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Name,
    pub(crate) team: Option<Name>,
    pub(crate) urgency: u8,
    pub(crate) model: Option<Name>,
    pub(crate) work: Work,
    pub(crate) fingerprint: Fingerprint,
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

    /// Returns the latest moment at which the first part of the answer is on time.
    pub(crate) fn objective(&self) -> Time {
        self.received + self.route.objective
    }
}

/// What a request's head says, before its body is read.
struct Head {
    route: Arc<Route>,
    service: Name,
    team: Option<Name>,
    urgency: u8,
}

fn text<'h>(headers: &'h HeaderMap, name: &HeaderName) -> Option<&'h str> {
    headers.get(name).and_then(|v| v.to_str().ok())
}

/// Returns the id that a request carries, or an empty one.
pub(crate) fn request_id(node: &Node, headers: &HeaderMap) -> HeaderValue {
    let id = headers.get(&node.dialect.headers().request_id);
    id.cloned().unwrap_or_else(|| HeaderValue::from_static(""))
}

/// Passes a request through every filter.
pub(crate) async fn accept(
    node: &Node,
    received: Time,
    request: Request<Incoming>,
) -> Result<Call, Refusal> {
    let (parts, body) = request.into_parts();
    let catalog = node.state.borrow().catalog.clone();
    let limits = catalog.limits().ok_or(Refusal::NoConfiguration)?;
    let head = identify(node, &catalog, &parts)?;
    let names = node.dialect.headers();
    let waits = text(&parts.headers, &names.deadline).and_then(|v| v.trim().parse().ok());
    let waits = waits.map_or(head.route.timeout, Duration::from_millis);
    let end = received + waits.min(head.route.timeout);
    let body = read_body(node, body, limits.max_body_bytes, limits.idle_timeout, end).await?;
    let key = text(&parts.headers, &AUTHORIZATION).unwrap_or_default();
    let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
    let fingerprint = stable_hash([path.as_bytes(), key.as_bytes(), &body[..]]);
    let target = Uri::try_from(path).map_err(|_| Refusal::BadRequest)?;
    let mut call = Call {
        id: request_id(node, &parts.headers),
        received,
        end,
        service: head.service,
        team: head.team,
        urgency: head.urgency,
        model: text(&parts.headers, &names.model).map(Name::from),
        work: work(node, &parts.headers),
        fingerprint: Fingerprint::new(fingerprint),
        method: parts.method,
        target,
        headers: parts.headers,
        body,
        route: head.route,
    };
    strip(node, &mut call);
    Ok(call)
}

fn identify(node: &Node, catalog: &Rc<Catalog>, parts: &Parts) -> Result<Head, Refusal> {
    let host = parts.uri.authority().map(|a| a.as_str());
    let host = host
        .or_else(|| text(&parts.headers, &HOST))
        .unwrap_or_default();
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    let route = catalog.route(name, parts.uri.path()).map_err(denied)?;
    let value = text(&parts.headers, &AUTHORIZATION);
    let key = value.and_then(|v| node.dialect.caller_key(v));
    let team = catalog.team(route, key).map_err(denied)?;
    let draw: f64 = node.state.borrow_mut().rng.random();
    let service = route.pick_service(draw).ok_or(Refusal::NoEndpoint)?.clone();
    Ok(Head {
        service,
        urgency: team.and_then(|t| t.priority).unwrap_or(route.priority),
        team: team.map(|t| t.name.clone()),
        route: route.clone(),
    })
}

const fn denied(denial: Denial) -> Refusal {
    match denial {
        Denial::NoRoute => Refusal::NoRoute,
        Denial::UnknownKey => Refusal::UnknownKey,
    }
}

async fn read_body(
    node: &Node,
    body: Incoming,
    most_bytes: usize,
    idle_time: Duration,
    end: Time,
) -> Result<Bytes, Refusal> {
    let limit = node
        .clock
        .instant(end)
        .min(tokio::time::Instant::now() + idle_time);
    let read = tokio::time::timeout_at(limit, Limited::new(body, most_bytes).collect()).await;
    match read {
        Err(_) => Err(Refusal::SlowBody),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Refusal::TooLarge),
        Ok(Err(_)) => Err(Refusal::BadRequest),
    }
}

fn work(node: &Node, headers: &HeaderMap) -> Work {
    let names = node.dialect.headers();
    let tokens = text(headers, &names.tokens).and_then(|v| node.dialect.token_counts(v));
    let hint = text(headers, &names.length_hint).and_then(|v| v.trim().parse().ok());
    let (prompt_tokens, most) = tokens.unwrap_or((0, DEFAULT_ANSWER_TOKENS));
    Work {
        prompt_tokens,
        answer_tokens: hint.unwrap_or(most).min(most),
    }
}

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [HeaderName; 7] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Removes the headers that concern one connection only.
pub(crate) fn strip_connection_headers(headers: &mut HeaderMap) {
    let listed = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok());
    let named = listed.flat_map(|v| v.split(','));
    let named: Vec<HeaderName> = named.filter_map(|n| n.trim().parse().ok()).collect();
    for name in named.iter().chain(&CONNECTION_HEADERS) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}

/// Removes what endpoints must not get, and sets what the system says to every
/// endpoint.
fn strip(node: &Node, call: &mut Call) {
    let names = node.dialect.headers();
    strip_connection_headers(&mut call.headers);
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
            names.urgency.clone(),
            HeaderValue::from(u16::from(call.urgency.min(9))),
        );
    }
}
