//! One request sent to one endpoint.

use std::rc::Rc;
use std::time::Duration;

use bulrushhoist_core::Time;
use bulrushhoist_fleet::Endpoint;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_ENCODING, HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode};

use crate::call::Call;
use crate::link::{Link, LinkError};
use crate::links::Freshness;
use crate::node::Node;
use crate::outcome::RetryCause;

/// Time between two looks at whether a silent endpoint has stalled.
const STALL_CHECK: Duration = Duration::from_millis(120);
/// Part of the time that an endpoint's idle timeout leaves as a margin.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);
/// Idle timeout that an endpoint announces.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Counts a request at an endpoint for as long as it is in flight.
pub(crate) struct Flight {
    node: Rc<Node>,
    pub(crate) endpoint: Endpoint,
    /// Tokens of the prompt, until the first event.
    unread: Option<u32>,
}

impl Flight {
    pub(crate) fn start(node: &Rc<Node>, endpoint: Endpoint, unread: u32) -> Self {
        node.state
            .borrow_mut()
            .on_sent(node.now(), &endpoint.id, unread);
        Self {
            node: node.clone(),
            endpoint,
            unread: Some(unread),
        }
    }

    /// Takes the first event: the prompt is read.
    pub(crate) fn on_first_event(&mut self) {
        if let Some(unread) = self.unread.take() {
            let mut state = self.node.state.borrow_mut();
            state.on_first_event(&self.endpoint.id, unread);
        }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let mut state = self.node.state.borrow_mut();
        state.on_done(&self.endpoint.id, self.unread);
        drop(state);
        self.node.advance_lines();
    }
}

/// Why waiting for an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Halt {
    /// The endpoint has been silent for too long.
    Silent,
    /// The request's time is over.
    TimedOut,
}

/// How long an endpoint is waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Patience {
    /// Until the request's time is over: it must not be sent anywhere else.
    UntilEnd,
    /// Until all that runs at the endpoint has been silent for too long.
    UntilStalled,
}

/// Waits for an endpoint until it answers, stalls or the time is over.
pub(crate) async fn watched<T>(
    node: &Node,
    endpoint: &Endpoint,
    end: Time,
    patience: Patience,
    work: impl Future<Output = T>,
) -> Result<T, Halt> {
    let mut work = std::pin::pin!(work);
    loop {
        let now = node.now();
        if now >= end {
            return Err(Halt::TimedOut);
        }
        let pause = STALL_CHECK.min(end.since(now));
        if let Ok(done) = tokio::time::timeout(pause, &mut work).await {
            return Ok(done);
        }
        if patience == Patience::UntilStalled && node.is_stalled(&endpoint.id) {
            return Err(Halt::Silent);
        }
    }
}

/// How an attempt failed.
#[derive(Debug)]
pub(crate) enum Failed {
    /// The endpoint can't have run the request.
    NotRun(RetryCause),
    /// It may have run.
    MayHaveRun(RetryCause),
    /// The request's time is over.
    TimedOut,
}

/// The head of an endpoint's answer, with the connection that it came on.
pub(crate) struct Opened {
    pub(crate) link: Link,
    pub(crate) answer: Response<Incoming>,
}

/// Sends a call to an endpoint and waits for the head of its answer.
pub(crate) async fn send(
    node: &Node,
    call: &Call,
    endpoint: &Endpoint,
    end: Time,
    patience: Patience,
    last_event: Option<&str>,
) -> Result<Opened, Failed> {
    let freshness = match call.route.is_idempotent() {
        true => Freshness::Any,
        false => Freshness::Recent,
    };
    let mut freshness = freshness;
    loop {
        let link = node.links.take(node.now(), endpoint, freshness).await;
        let mut link = link.map_err(|e| on_link_error(node, endpoint, &e))?;
        let request = outgoing(node, call, endpoint, end, last_event);
        let sent = watched(node, endpoint, end, patience, link.send(request)).await;
        let answer = match sent {
            Err(Halt::TimedOut) => return Err(Failed::TimedOut),
            Err(Halt::Silent) => {
                node.suspect(&endpoint.id, endpoint.born, "silent before an answer");
                return Err(Failed::MayHaveRun(RetryCause::Silent));
            }
            // An idle connection that was closed meanwhile says nothing about the endpoint.
            Ok(Err(LinkError::NotSent(_))) if freshness == Freshness::Any => {
                freshness = Freshness::Recent;
                continue;
            }
            Ok(Err(error)) => return Err(on_link_error(node, endpoint, &error)),
            Ok(Ok(answer)) => answer,
        };
        note_keep_alive(node, &mut link, answer.headers());
        check(node, call, endpoint, &answer)?;
        return Ok(Opened { link, answer });
    }
}

fn on_link_error(node: &Node, endpoint: &Endpoint, error: &LinkError) -> Failed {
    let cause = error.to_string();
    if error.is_unsent() {
        node.links.drop_endpoint(&endpoint.id);
        node.suspect(&endpoint.id, endpoint.born, &cause);
    } else {
        node.on_broken(&endpoint.id, endpoint.born, &cause);
    }
    if error.is_refused() {
        let now = node.now();
        let mut state = node.state.borrow_mut();
        state.monitor.on_refused(now, &endpoint.id, endpoint.born);
    }
    if error.is_unsent() {
        Failed::NotRun(RetryCause::Unsent)
    } else {
        Failed::MayHaveRun(RetryCause::Broken)
    }
}

fn outgoing(
    node: &Node,
    call: &Call,
    endpoint: &Endpoint,
    end: Time,
    last_event: Option<&str>,
) -> Request<Full<Bytes>> {
    let names = node.dialect.headers();
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.target.clone();
    let headers = request.headers_mut();
    *headers = call.headers.clone();
    let left = end.since(node.now()).as_millis();
    let left = u64::try_from(left).unwrap_or(u64::MAX).max(1);
    headers.insert(names.deadline.clone(), HeaderValue::from(left));
    if let Ok(id) = HeaderValue::from_str(&endpoint.id) {
        headers.insert(names.expected_endpoint.clone(), id);
    }
    if let Some(id) = last_event.and_then(|id| HeaderValue::from_str(id).ok()) {
        headers.insert(names.last_event.clone(), id);
    }
    request
}

fn note_keep_alive(node: &Node, link: &mut Link, headers: &HeaderMap) {
    let value = headers.get(KEEP_ALIVE).and_then(|v| v.to_str().ok());
    let seconds = value.and_then(|v| v.split(',').find_map(|p| p.trim().strip_prefix("timeout=")));
    if let Some(seconds) = seconds.and_then(|s| s.parse().ok()) {
        let idle = Duration::from_secs(seconds).saturating_sub(KEEP_ALIVE_MARGIN);
        link.expires = Some(node.now() + idle);
    }
}

/// Checks that an answer belongs to the request and says that it was run.
fn check(
    node: &Node,
    call: &Call,
    endpoint: &Endpoint,
    answer: &Response<Incoming>,
) -> Result<(), Failed> {
    let names = node.dialect.headers();
    let headers = answer.headers();
    if headers.contains_key(&names.not_run) || answer.status() == StatusCode::MISDIRECTED_REQUEST {
        let cause = match answer.status() {
            StatusCode::MISDIRECTED_REQUEST => RetryCause::Misdirected,
            _ => RetryCause::Refused,
        };
        if cause == RetryCause::Misdirected {
            node.links.drop_endpoint(&endpoint.id);
            node.suspect(&endpoint.id, endpoint.born, "misdirected");
        }
        return Err(Failed::NotRun(cause));
    }
    let echoed = headers.get(&names.request_id) == Some(&call.id);
    let stamped = headers.contains_key(&names.stamp);
    let encoded = headers.contains_key(CONTENT_ENCODING);
    if !echoed || encoded || (answer.status().is_success() && !stamped) {
        return Err(Failed::MayHaveRun(RetryCause::Broken));
    }
    Ok(())
}
