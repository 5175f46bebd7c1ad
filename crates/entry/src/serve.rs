//! HTTP servers: callers, calls to the entry itself, metrics and the store relay.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bulrushhoist_core::{Fingerprint, Time};
use bulrushhoist_fleet::{CallKind, Discipline, MIN_RETRY_AFTER, SharedParts};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, EXPECT, HeaderValue, RETRY_AFTER};
use hyper::http::response::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, Uri};
use hyper_util::rt::{TokioIo, TokioTimer};
use rand::RngExt as _;
use slog::{info, warn};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::body::{AnswerBody, discard};
use crate::call::{self, Call, strip_hop_by_hop_headers};
use crate::dialect::LocalCall;
use crate::directory;
use crate::forward::{self, RequestSource};
use crate::metrics::ByteCause;
use crate::node::Node;
use crate::outcome::Refusal;
use crate::quarantine::retry_after_s;
use crate::relay::{FRESHNESS_MARGIN, RelayQuery, max_relayed_body};
use crate::state::Phase;
use crate::state_transfer;
use crate::stream::StreamAnswer;
use crate::{net, plain, stream};

/// Idle timeout of connections until a configuration is known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum size of a request's header until a configuration is known.
const DEFAULT_HEADER_BYTES: usize = 16 * 1_024;
/// Smallest buffer that the HTTP library accepts.
const MIN_HEADER_BYTES: usize = 8 * 1_024;

/// Time that a connection without a request stays open during a planned stop.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(1_000);

/// What a listening socket serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListenerRole {
    /// Callers' requests, which go to endpoints.
    Callers,
    /// Requests that the entry answers itself.
    Local,
    /// Metrics.
    Metrics,
    /// Peers that follow this entry's copy of the store.
    Relay,
}

/// What a planned stop means for open connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StopPhase {
    /// Connections are kept.
    Open,
    /// Connections are closed after their current request.
    Finishing,
}

/// Accepts connections until the task is aborted.
pub(crate) async fn accept(
    node: Rc<Node>,
    listener: TcpListener,
    role: ListenerRole,
    stop: watch::Receiver<StopPhase>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let critical = node.state.borrow().catalog.has_latency_critical();
                let reads_ahead = role == ListenerRole::Callers && critical;
                if let Err(error) = net::set_options(&stream, reads_ahead) {
                    warn!(node.log, "connection not usable"; "cause" => %error);
                    continue;
                }
                let serving = connection(node.clone(), stream, role, stop.clone());
                tokio::task::spawn_local(serving);
            }
            Err(error) => {
                warn!(node.log, "connection not accepted"; "cause" => %error);
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn connection(
    node: Rc<Node>,
    stream: tokio::net::TcpStream,
    role: ListenerRole,
    mut stop: watch::Receiver<StopPhase>,
) {
    let limits = node.state.borrow().catalog.limits();
    let idle = limits.map_or(DEFAULT_IDLE_TIMEOUT, |l| l.idle_timeout);
    let header_bytes = limits.map_or(DEFAULT_HEADER_BYTES, |l| l.max_header_bytes);
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(header_bytes.max(MIN_HEADER_BYTES));
    let (requested, first_request) = watch::channel(false);
    let service = service_fn(move |request| {
        let node = node.clone();
        requested.send_replace(true);
        async move { Ok::<_, Infallible>(answer(&node, role, request).await) }
    });
    let serving = builder.serve_connection(TokioIo::new(stream), service);
    let mut serving = std::pin::pin!(serving);
    // The result is ignored: a request on the connection sees its error itself.
    tokio::select! {
        _ = serving.as_mut() => return,
        () = may_close(&mut stop, first_request) => {}
    }
    serving.as_mut().graceful_shutdown();
    let _ = serving.await;
}

/// Waits until the process finishes its connections and this one may be closed after its
/// current request. A connection that has had no request stays open for a while, because
/// the first one may already be on its way.
async fn may_close(stop: &mut watch::Receiver<StopPhase>, mut first: watch::Receiver<bool>) {
    // Both senders live as long as the process and the connection.
    let _ = stop.wait_for(|s| *s == StopPhase::Finishing).await;
    let _ = tokio::time::timeout(FIRST_REQUEST_TIMEOUT, first.wait_for(|seen| *seen)).await;
}

async fn answer(
    node: &Rc<Node>,
    role: ListenerRole,
    mut request: Request<Incoming>,
) -> Response<AnswerBody> {
    match role {
        ListenerRole::Callers => answer_caller(node, request, RequestSource::Caller).await,
        ListenerRole::Local => answer_local(node, &request),
        ListenerRole::Relay if forward::take_mark(request.headers_mut()) => {
            answer_caller(node, request, RequestSource::Peer).await
        }
        ListenerRole::Relay => {
            let (status, body) = answer_follower(node, request.uri()).await;
            let mut response = Response::new(AnswerBody::complete(body));
            *response.status_mut() = status;
            response
        }
        ListenerRole::Metrics => match node.export_metrics() {
            Ok(text) => Response::new(AnswerBody::complete(text)),
            Err(error) => {
                warn!(node.log, "metrics not exported"; "cause" => %error);
                status_only(StatusCode::INTERNAL_SERVER_ERROR)
            }
        },
    }
}

/// Answers an entry that follows this one, and counts the bytes by whether it is in the
/// same data centre.
async fn answer_follower(node: &Node, uri: &Uri) -> (StatusCode, Bytes) {
    if uri.path() == state_transfer::PATH {
        return (StatusCode::OK, state_transfer::answer(node));
    }
    let target = uri.path_and_query().map_or("/", |t| t.as_str());
    let Some(query) = RelayQuery::parse(target) else {
        return (StatusCode::NOT_FOUND, Bytes::new());
    };
    let max_body = max_relayed_body(node.state.borrow().peers.role());
    let max_age = node.age_limits(query.kind).watch_wait() + FRESHNESS_MARGIN;
    let answer = node.relay.answer(&node.clock, &query, max_body, max_age);
    let (status, body) = answer.await;
    let state = node.state.borrow();
    let follower = state.peers.info(query.follower);
    let nearby = follower.is_some_and(|f| f.data_centre == node.settings.data_centre);
    let cause = match nearby {
        true => ByteCause::RelayNearby,
        false => ByteCause::RelayRemote,
    };
    node.metrics.on_bytes(cause, body.len());
    (status, body)
}

fn status_only(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::Complete(None));
    *response.status_mut() = status;
    response
}

fn answer_local(node: &Node, request: &Request<Incoming>) -> Response<AnswerBody> {
    let uri = request.uri();
    match node.dialect.local_call(uri.path(), uri.query()) {
        Some(LocalCall::Ready) if node.is_ready() => status_only(StatusCode::OK),
        Some(LocalCall::Ready) => status_only(StatusCode::SERVICE_UNAVAILABLE),
        Some(LocalCall::Directory(centre)) => match directory::answer(node, centre.as_deref()) {
            Some(body) => {
                let mut response = Response::new(AnswerBody::complete(body));
                let json = HeaderValue::from_static("application/json");
                response.headers_mut().insert(CONTENT_TYPE, json);
                response
            }
            None => status_only(StatusCode::SERVICE_UNAVAILABLE),
        },
        None => status_only(StatusCode::NOT_FOUND),
    }
}

async fn answer_caller(
    node: &Rc<Node>,
    request: Request<Incoming>,
    source: RequestSource,
) -> Response<AnswerBody> {
    let received = node.now();
    node.state.borrow_mut().traffic_seen = true;
    let id = call::request_id(node, request.headers());
    let pending = Pending {
        node,
        id: &id,
        received,
    };
    let (parts, mut body) = request.into_parts();
    let awaits_leave = parts.headers.contains_key(EXPECT);
    let response = match call::accept(node, received, parts, &mut body).await {
        Err(refusal) => {
            // A caller that awaits leave to send its body gets the refusal instead.
            if !(awaits_leave && refusal.is_unread()) {
                discard(body);
            }
            refuse(node, &id, received, refusal, None)
        }
        Ok(call) => run(node, call, source).await,
    };
    // From here on other lines name the request.
    std::mem::forget(pending);
    response
}

/// A request without an answer. Logs the request if it is dropped, which happens when its
/// connection closes, whoever closed it.
struct Pending<'r> {
    node: &'r Node,
    id: &'r HeaderValue,
    received: Time,
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        let held = self.node.now().since(self.received).as_millis() as u64;
        self.node.metrics.on_abandoned();
        info!(self.node.log, "request abandoned"; "request" => text(self.id), "held_ms" => held);
    }
}

/// The attributes of a request that its log line names.
struct RequestContext {
    route: bulrushhoist_fleet::Name,
    service: bulrushhoist_fleet::Name,
    model: Option<bulrushhoist_fleet::Name>,
    deadline: Time,
    version: u64,
    fingerprint: Fingerprint,
    parts: SharedParts,
}

/// Sends a call to endpoints unless it is quarantined or would outlast a planned stop.
async fn run(node: &Rc<Node>, call: Call, source: RequestSource) -> Response<AnswerBody> {
    let id = call.id.clone();
    let received = call.received;
    let kind = call.route.kind;
    let context = {
        let now = node.now();
        let mut state = node.state.borrow_mut();
        let retries = node.bounds.get().retries;
        state.budget(&call.service, retries).on_request(now);
        RequestContext {
            route: call.route.name.clone(),
            service: call.service.clone(),
            model: call.model.clone(),
            deadline: call.deadline,
            version: state.catalog.version,
            fingerprint: call.fingerprint,
            parts: call.parts.clone(),
        }
    };
    if node.stops_before(call.deadline) {
        return refuse(node, &id, received, Refusal::Stopping, Some(&context));
    }
    if let Some(refusal) = node.quarantine_refusal(&call) {
        return refuse(node, &id, received, refusal, Some(&context));
    }
    let answered = match kind {
        _ if forward::is_needed(node, &call, source) => forward::run(node, &call).await,
        CallKind::Safe | CallKind::Unsafe => match plain::run(node, &call).await {
            Ok(answer) => {
                let body = AnswerBody::complete(answer.body);
                Ok((answer.parts, body, answer.endpoint))
            }
            Err(refusal) => forward::run_refused(node, &call, source, refusal).await,
        },
        CallKind::Stream => match stream::run(node, call).await {
            Ok(StreamAnswer::Complete(parts, body, endpoint)) => {
                Ok((parts, AnswerBody::complete(body), endpoint))
            }
            Ok(StreamAnswer::Events(parts, chunks, endpoint)) => {
                Ok((parts, AnswerBody::Chunks(chunks), endpoint))
            }
            Err((call, refusal)) => forward::run_refused(node, &call, source, refusal).await,
        },
    };
    match answered {
        Err(refusal) => refuse(node, &id, received, refusal, Some(&context)),
        Ok((parts, body, endpoint)) => {
            let now = node.now();
            let took = now.since(received);
            let status = parts.status.as_u16();
            node.metrics.on_answer(kind, status, took);
            info!(node.log, "answered"; "request" => text(&id), "status" => status, "kind" => %kind, "route" => &*context.route, "service" => &*context.service, "version" => context.version, "endpoint" => &*endpoint, "fingerprint" => %context.fingerprint, "took_ms" => took.as_millis() as u64);
            if kind != CallKind::Stream {
                node.record_answered(&id, context.fingerprint, parts.status);
            }
            forward_answer(parts, body)
        }
    }
}

fn text(id: &HeaderValue) -> &str {
    id.to_str().unwrap_or("?")
}

/// Builds the answer to a caller from an endpoint's.
fn forward_answer(mut parts: Parts, body: AnswerBody) -> Response<AnswerBody> {
    strip_hop_by_hop_headers(&mut parts.headers);
    parts.version = hyper::Version::HTTP_11;
    parts.extensions.clear();
    Response::from_parts(parts, body)
}

/// Fixed part of the time after which a refused caller should retry. A random part is
/// added.
const BASE_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Builds the answer to a refused request.
///
/// Retry times are spread at random over the time that the service takes for those that
/// wait, and those that return, so that refused callers do not all return at once.
fn refuse(
    node: &Node,
    id: &HeaderValue,
    received: bulrushhoist_core::Time,
    refusal: Refusal,
    context: Option<&RequestContext>,
) -> Response<AnswerBody> {
    let status = refusal.status();
    node.metrics.on_refusal(refusal);
    let queue = context.and_then(|c| Some((c.service.clone(), c.model.clone()?)));
    let now = node.now();
    let held = now.since(received).as_millis() as u64;
    let version = context.map(|c| c.version);
    let service = context.map(|c| c.service.to_string());
    let route = context.map(|c| c.route.to_string());
    let fingerprint = context.map(|c| c.fingerprint.to_string());
    info!(node.log, "refused"; "request" => text(id), "reason" => %refusal, "status" => status.as_u16(), "held_ms" => held, "route" => route, "service" => service, "version" => version, "fingerprint" => fingerprint);
    let mut response = status_only(status);
    let headers = response.headers_mut();
    headers.insert(node.dialect.headers().request_id.clone(), id.clone());
    let quarantined = context.and_then(|c| {
        let state = node.state.borrow();
        state.quarantine.check(now, c.fingerprint, &c.parts)
    });
    let pause = context.filter(|_| matches!(refusal, Refusal::Paused | Refusal::Limited));
    let pause = pause.and_then(|c| node.shortest_pause(&c.service, c.model.as_ref()));
    if refusal == Refusal::Stopping {
        headers.insert(RETRY_AFTER, HeaderValue::from_static("0"));
    } else if let Some(quarantined) = quarantined.filter(|_| refusal.is_quarantine()) {
        let seconds = HeaderValue::from(retry_after_s(quarantined.remaining));
        headers.insert(RETRY_AFTER, seconds);
    } else if status == StatusCode::SERVICE_UNAVAILABLE {
        let mut state = node.state.borrow_mut();
        let earliest = BASE_RETRY_AFTER + pause.unwrap_or_default();
        let remaining = context.map_or(Duration::ZERO, |c| c.deadline.since(now));
        let spread = queue.and_then(|key| {
            let waiting = &mut state.queues.get_mut(&key)?.waiting;
            waiting.on_refused(now);
            Some(match waiting.discipline() {
                Discipline::EarliestFirst => waiting.retry_after(now),
                Discipline::OnTimeFirst => waiting.return_period(now, earliest, remaining),
            })
        });
        let spread = spread.unwrap_or(MIN_RETRY_AFTER).as_secs_f64();
        let delay = earliest.as_secs_f64() + state.rng.random_range(0.0..=spread);
        let seconds = format!("{delay:.2}");
        drop(state);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    let closes = matches!(
        refusal,
        Refusal::TooLarge | Refusal::NoRoom | Refusal::BadRequest | Refusal::SlowBody
    );
    if closes || node.state.borrow().phase != Phase::Serving {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
