//! Connections of callers.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bulrushhoist_core::QuarantineDecision;
use bulrushhoist_fleet::{CallKind, MIN_RETRY_AFTER};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::http::response::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use rand::RngExt as _;
use slog::{info, warn};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::body::AnswerBody;
use crate::call::{self, Call, strip_connection_headers};
use crate::dialect::OwnCall;
use crate::directory;
use crate::node::Node;
use crate::outcome::Refusal;
use crate::state::Phase;
use crate::stream::StreamAnswer;
use crate::{net, plain, stream};

/// Idle time of connections while no configuration is known.
const IDLE_DEFAULT: Duration = Duration::from_secs(15);
/// Bytes of a request's head while no configuration is known.
const HEAD_BYTES_DEFAULT: usize = 16 * 1_024;
/// Least buffer that the HTTP library accepts.
const HEAD_BYTES_LEAST: usize = 8 * 1_024;

/// What a listener answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Port {
    /// Calls through the system.
    Front,
    /// Calls to the system itself.
    Own,
    /// Metrics.
    Metrics,
    /// Other entries that follow what this one knows of the store.
    Relay,
}

/// How far a stop has come, for open connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stop {
    /// Connections are kept.
    Open,
    /// Connections end with the requests that they carry.
    Finish,
}

/// Accepts connections for ever.
pub(crate) async fn accept(
    node: Rc<Node>,
    listener: TcpListener,
    port: Port,
    stop: watch::Receiver<Stop>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(error) = net::tune(&stream) {
                    warn!(node.log, "connection not usable"; "cause" => %error);
                    continue;
                }
                let serving = connection(node.clone(), stream, port, stop.clone());
                tokio::task::spawn_local(serving);
            }
            Err(error) => {
                warn!(node.log, "connection not accepted"; "cause" => %error);
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// Opens a listener.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    net::listen(address)
}

async fn connection(
    node: Rc<Node>,
    stream: tokio::net::TcpStream,
    port: Port,
    mut stop: watch::Receiver<Stop>,
) {
    let limits = node.state.borrow().catalog.limits();
    let idle = limits.map_or(IDLE_DEFAULT, |l| l.idle_timeout);
    let head = limits.map_or(HEAD_BYTES_DEFAULT, |l| l.max_header_bytes);
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(head.max(HEAD_BYTES_LEAST));
    let service = service_fn(move |request| {
        let node = node.clone();
        async move { Ok::<_, Infallible>(answer(&node, port, request).await) }
    });
    let serving = builder.serve_connection(TokioIo::new(stream), service);
    let mut serving = std::pin::pin!(serving);
    // What ends a connection early is seen by the request that it carries.
    tokio::select! {
        _ = serving.as_mut() => return,
        _ = stop.wait_for(|s| *s == Stop::Finish) => {}
    }
    serving.as_mut().graceful_shutdown();
    let _ = serving.await;
}

async fn answer(node: &Rc<Node>, port: Port, request: Request<Incoming>) -> Response<AnswerBody> {
    match port {
        Port::Front => answer_caller(node, request).await,
        Port::Own => answer_own(node, &request),
        Port::Relay => {
            let (status, body) = node.relay.answer(node, request.uri().path()).await;
            let mut response = Response::new(AnswerBody::whole(body));
            *response.status_mut() = status;
            response
        }
        Port::Metrics => match node.metrics.export() {
            Ok(text) => Response::new(AnswerBody::whole(text)),
            Err(error) => {
                warn!(node.log, "metrics not exported"; "cause" => %error);
                plain_status(StatusCode::INTERNAL_SERVER_ERROR)
            }
        },
    }
}

fn plain_status(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::Whole(None));
    *response.status_mut() = status;
    response
}

fn answer_own(node: &Node, request: &Request<Incoming>) -> Response<AnswerBody> {
    match node.dialect.own_call(request.uri().path()) {
        Some(OwnCall::Ready) if node.is_ready() => plain_status(StatusCode::OK),
        Some(OwnCall::Ready) => plain_status(StatusCode::SERVICE_UNAVAILABLE),
        Some(OwnCall::Directory) => match directory::answer(node) {
            Some(body) => {
                let mut response = Response::new(AnswerBody::whole(body));
                let json = HeaderValue::from_static("application/json");
                response.headers_mut().insert(CONTENT_TYPE, json);
                response
            }
            None => plain_status(StatusCode::SERVICE_UNAVAILABLE),
        },
        None => plain_status(StatusCode::NOT_FOUND),
    }
}

async fn answer_caller(node: &Rc<Node>, request: Request<Incoming>) -> Response<AnswerBody> {
    let received = node.now();
    node.state.borrow_mut().in_traffic = true;
    let id = call::request_id(node, request.headers());
    match call::accept(node, received, request).await {
        Err(refusal) => refuse(node, &id, received, refusal, None),
        Ok(call) => run(node, call).await,
    }
}

/// What the line about a request says besides its outcome.
struct About {
    route: bulrushhoist_fleet::Name,
    service: bulrushhoist_fleet::Name,
    model: Option<bulrushhoist_fleet::Name>,
    version: u64,
}

async fn run(node: &Rc<Node>, call: Call) -> Response<AnswerBody> {
    let id = call.id.clone();
    let received = call.received;
    let kind = call.route.kind;
    let fingerprint = call.fingerprint;
    let about = {
        let now = node.now();
        let mut state = node.state.borrow_mut();
        state.budget(&call.service, &node.settings).on_request(now);
        About {
            route: call.route.name.clone(),
            service: call.service.clone(),
            model: call.model.clone(),
            version: state.catalog.version,
        }
    };
    if node.stops_before(call.end) {
        return refuse(node, &id, received, Refusal::Stopping, Some(&about));
    }
    let verdict = node
        .state
        .borrow_mut()
        .quarantine
        .admit(received, fingerprint);
    if verdict == QuarantineDecision::Refused {
        return refuse(node, &id, received, Refusal::Quarantined, Some(&about));
    }
    let answered = match kind {
        CallKind::Safe | CallKind::Unsafe => plain::run(node, &call).await.map(|answer| {
            (
                answer.parts,
                AnswerBody::whole(answer.body),
                answer.endpoint,
            )
        }),
        CallKind::Stream => match stream::run(node, call).await {
            Ok(StreamAnswer::Whole(parts, body, endpoint)) => {
                Ok((parts, AnswerBody::whole(body), endpoint))
            }
            Ok(StreamAnswer::Events(parts, pieces, endpoint)) => {
                Ok((parts, AnswerBody::Pieces(pieces), endpoint))
            }
            Err((_, refusal)) => Err(refusal),
        },
    };
    match answered {
        Err(refusal) => {
            node.state
                .borrow_mut()
                .quarantine
                .on_finished(fingerprint, false);
            refuse(node, &id, received, refusal, Some(&about))
        }
        Ok((parts, body, endpoint)) => {
            let took = node.now().since(received);
            let status = parts.status.as_u16();
            let label = match kind {
                CallKind::Safe => "safe",
                CallKind::Unsafe => "unsafe",
                CallKind::Stream => "stream",
            };
            node.metrics.on_answer(label, status, took);
            info!(node.log, "answered"; "request" => text(&id), "status" => status, "kind" => label, "route" => &*about.route, "service" => &*about.service, "version" => about.version, "endpoint" => &*endpoint, "took_ms" => took.as_millis() as u64);
            if kind != CallKind::Stream {
                node.state
                    .borrow_mut()
                    .quarantine
                    .on_finished(fingerprint, true);
            }
            pass_on(parts, body)
        }
    }
}

fn text(id: &HeaderValue) -> &str {
    id.to_str().unwrap_or("?")
}

fn pass_on(mut parts: Parts, body: AnswerBody) -> Response<AnswerBody> {
    strip_connection_headers(&mut parts.headers);
    parts.version = hyper::Version::HTTP_11;
    parts.extensions.clear();
    Response::from_parts(parts, body)
}

/// Least time after which a refused caller should come back, in seconds.
const COME_BACK_S: f64 = 0.15;

fn refuse(
    node: &Node,
    id: &HeaderValue,
    received: bulrushhoist_core::Time,
    refusal: Refusal,
    about: Option<&About>,
) -> Response<AnswerBody> {
    let status = refusal.status();
    node.metrics.on_refusal(refusal);
    let line = about.and_then(|a| Some((a.service.clone(), a.model.clone()?)));
    let now = node.now();
    let held = now.since(received).as_millis() as u64;
    let version = about.map(|a| a.version);
    let service = about.map(|a| a.service.to_string());
    let route = about.map(|a| a.route.to_string());
    info!(node.log, "refused"; "request" => text(id), "reason" => %refusal, "status" => status.as_u16(), "held_ms" => held, "route" => route, "service" => service, "version" => version);
    let mut response = plain_status(status);
    let headers = response.headers_mut();
    headers.insert(node.dialect.headers().request_id.clone(), id.clone());
    if refusal == Refusal::Stopping {
        headers.insert(RETRY_AFTER, HeaderValue::from_static("0"));
    } else if status == StatusCode::SERVICE_UNAVAILABLE {
        let mut state = node.state.borrow_mut();
        let span = line.and_then(|key| Some(state.lines.get(&key)?.waiting.retry_after(now)));
        let span = span.unwrap_or(MIN_RETRY_AFTER).as_secs_f64();
        let seconds = format!("{:.2}", COME_BACK_S + state.rng.random_range(0.0..span));
        drop(state);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    let closes = matches!(
        refusal,
        Refusal::TooLarge | Refusal::BadRequest | Refusal::SlowBody
    );
    if closes || node.state.borrow().phase != Phase::Serving {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
