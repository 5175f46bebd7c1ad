//! One attempt of a call: a request sent to one endpoint.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bulrushhoist_core::{Fingerprint, Time};
use bulrushhoist_fleet::{AttemptKey, ContactFailure, Endpoint};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_ENCODING, HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode};
use slog::{info, warn};

use crate::call::Call;
use crate::connection::{Connection, ConnectionError};
use crate::kept::BodyError;
use crate::node::Node;
use crate::outcome::RetryCause;
use crate::pool::Reuse;
use crate::quarantine::{AnswerPhase, run_key};

/// Interval at which a waiting request checks whether its endpoint has stalled.
pub(crate) const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(120);
/// Margin by which a connection is given up before the idle timeout that its endpoint
/// announced, so that no request is sent as the endpoint closes the connection.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);
/// Maximum size of an answer that is kept until it is complete.
pub(crate) const MAX_ANSWER_BYTES: usize = 8 * 1_024 * 1_024;
/// Header in which an endpoint announces its idle timeout.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Guard that counts a request in its endpoint's load for as long as it is in flight.
pub(crate) struct InFlight {
    node: Rc<Node>,
    pub(crate) endpoint: Endpoint,
    /// Whether the request was counted against the endpoint's limit as it was chosen.
    pub(crate) counted: bool,
    /// Whether the request tries a leader that has rejected others.
    pub(crate) is_trial: bool,
    /// When it was counted, just before the send.
    started: Time,
    /// Prompt tokens, until the first event.
    prefill_tokens: Option<u32>,
    request: HeaderValue,
    fingerprint: Fingerprint,
    /// The endpoint's run, as crash reports name it.
    pub(crate) run: u64,
    /// The attempt and when it was sent, until it is known what became of it.
    pending: Cell<Option<(AttemptKey, Time)>>,
}

impl InFlight {
    pub(crate) fn start(
        node: &Rc<Node>,
        call: &Call,
        endpoint: Endpoint,
        prefill_tokens: u32,
    ) -> Self {
        let now = node.now();
        let (id, incarnation) = (&endpoint.id, endpoint.incarnation);
        let mut state = node.state.borrow_mut();
        state.on_sent(now, id, prefill_tokens, call.work);
        let is_trial = state.fitness.on_sent(now, id, incarnation);
        let limits = &mut state.limits;
        let counted = limits.is_limited(id, incarnation) && limits.take(now, id, incarnation);
        drop(state);
        let run = run_key(&endpoint);
        Self {
            node: node.clone(),
            endpoint,
            counted,
            is_trial,
            started: now,
            prefill_tokens: Some(prefill_tokens),
            request: call.id.clone(),
            fingerprint: call.fingerprint,
            run,
            pending: Cell::new(None),
        }
    }

    /// Records that the request is about to be sent.
    fn on_sent(&self, now: Time, call: &Call) {
        let mut state = self.node.state.borrow_mut();
        let centre = &self.endpoint.data_centre;
        let quarantine = &mut state.quarantine;
        let attempt = quarantine.on_sent(now, self.run, centre, call.fingerprint, &call.parts);
        self.pending.set(Some((attempt, now)));
    }

    /// Records that it is known what became of the request: it was answered or not run, or
    /// its connection broke.
    pub(crate) fn on_ended(&self) {
        if let Some((attempt, _)) = self.pending.take() {
            self.node.state.borrow_mut().quarantine.on_ended(attempt);
        }
    }

    /// Records data from the endpoint, which shows that it is alive.
    pub(crate) fn on_activity(&self) {
        let (id, incarnation) = (&self.endpoint.id, self.endpoint.incarnation);
        self.node.on_activity(id, incarnation, self.run);
    }

    pub(crate) const fn phase(&self) -> AnswerPhase {
        match self.prefill_tokens {
            Some(_) => AnswerPhase::Waiting,
            None => AnswerPhase::Begun,
        }
    }

    /// Records the first event, which shows that the prompt has been read.
    pub(crate) fn on_first_event(&mut self) {
        if let Some(prefill_tokens) = self.prefill_tokens.take() {
            let mut state = self.node.state.borrow_mut();
            state.on_first_event(&self.endpoint.id, prefill_tokens);
            if let Some((attempt, _)) = self.pending.get() {
                state.quarantine.on_first_event(attempt);
            }
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut state = self.node.state.borrow_mut();
        let took = self.node.now().since(self.started);
        state.on_done(&self.endpoint.id, self.prefill_tokens, took);
        if self.is_trial {
            let (id, incarnation) = (&self.endpoint.id, self.endpoint.incarnation);
            state.fitness.on_trial_ended(id, incarnation);
        }
        if let Some((attempt, sent)) = self.pending.take() {
            let node = &self.node;
            let now = node.now();
            state.quarantine.on_given_up(now, attempt);
            let held = now.since(sent).as_millis() as u64;
            info!(node.log, "attempt given up"; "request" => self.request.to_str().unwrap_or("?"), "fingerprint" => %self.fingerprint, "endpoint" => &*self.endpoint.id, "born" => self.endpoint.incarnation, "begun" => self.phase() == AnswerPhase::Begun, "held_ms" => held);
        }
        drop(state);
        self.node.advance_queues();
    }
}

/// Why waiting for an endpoint ended without a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WaitError {
    /// No request at the endpoint has had an event for too long.
    Stalled,
    /// The deadline has passed.
    TimedOut,
}

/// When a request stops waiting for its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WaitPolicy {
    /// At its deadline only: the request stays at this endpoint, or its attempt has a
    /// timeout of its own.
    Deadline,
    /// At its deadline, or earlier if the endpoint stalls.
    StallOrDeadline,
}

/// Waits for an operation on an endpoint until it completes, the endpoint stalls or the
/// deadline passes.
pub(crate) async fn wait_for<T>(
    node: &Node,
    endpoint: &Endpoint,
    deadline: Time,
    wait_policy: WaitPolicy,
    work: impl Future<Output = T>,
) -> Result<T, WaitError> {
    let mut work = std::pin::pin!(work);
    loop {
        let now = node.now();
        if now >= deadline {
            return Err(WaitError::TimedOut);
        }
        let pause = STALL_CHECK_INTERVAL.min(deadline.since(now));
        if let Ok(done) = tokio::time::timeout(pause, &mut work).await {
            return Ok(done);
        }
        if wait_policy == WaitPolicy::StallOrDeadline && node.is_stalled(&endpoint.id) {
            return Err(WaitError::Stalled);
        }
    }
}

/// How an attempt failed, which decides whether the request may be retried.
#[derive(Debug)]
pub(crate) enum AttemptError {
    /// The endpoint cannot have run the request.
    NotRun(RetryCause),
    /// The endpoint may have run the request.
    MayHaveRun(RetryCause),
    /// The deadline has passed.
    TimedOut,
}

/// A response whose body has not been read, with its connection.
pub(crate) struct OpenResponse {
    pub(crate) connection: Connection,
    pub(crate) response: Response<Incoming>,
}

/// Sends a call to an endpoint and waits for the status and headers of the response.
pub(crate) async fn send(
    node: &Node,
    call: &Call,
    in_flight: &InFlight,
    deadline: Time,
    wait_policy: WaitPolicy,
    last_event: Option<&str>,
) -> Result<OpenResponse, AttemptError> {
    let endpoint = &in_flight.endpoint;
    let reuse = match call.route.is_idempotent() {
        true => Reuse::Any,
        false => Reuse::Recent,
    };
    let mut reuse = reuse;
    loop {
        let connection = node.pool.take(node.now(), endpoint, reuse).await;
        let mut connection =
            connection.map_err(|e| on_connection_error(node, call, in_flight, &e))?;
        if connection.is_new {
            node.state.borrow_mut().endpoint_contact.on_connected();
        }
        // While the connection was opened, the endpoint may have said that it leaves, pauses
        // or has a limit.
        if !node.may_send(in_flight) {
            return Err(AttemptError::NotRun(RetryCause::Unsent));
        }
        let request = build_request(node, call, endpoint, deadline, last_event);
        node.on_call_bytes(endpoint, call.body.len());
        let sent_at = node.now();
        in_flight.on_sent(sent_at, call);
        let sent = wait_for(
            node,
            endpoint,
            deadline,
            wait_policy,
            connection.send(request),
        )
        .await;
        let response = match sent {
            Err(WaitError::TimedOut) => return Err(AttemptError::TimedOut),
            Err(WaitError::Stalled) => {
                node.on_contact_failure(&endpoint.id, ContactFailure::Unanswered);
                node.suspect(
                    &endpoint.id,
                    endpoint.incarnation,
                    "stalled before an answer",
                );
                return Err(AttemptError::MayHaveRun(RetryCause::Silent));
            }
            // The endpoint has closed an idle connection, which says nothing about its
            // health: the request is sent again on a recently used or a new one.
            Ok(Err(ConnectionError::NotSent(_))) if reuse == Reuse::Any => {
                in_flight.on_ended();
                reuse = Reuse::Recent;
                continue;
            }
            Ok(Err(error)) => return Err(on_connection_error(node, call, in_flight, &error)),
            Ok(Ok(response)) => response,
        };
        node.state.borrow_mut().endpoint_contact.on_answer();
        apply_keep_alive(node, &mut connection, response.headers());
        // Another endpoint that has the address now speaks of itself.
        if response.status() != StatusCode::MISDIRECTED_REQUEST {
            node.read_notices(endpoint, response.headers(), sent_at);
        }
        check_response(node, call, in_flight, &response)?;
        return Ok(OpenResponse {
            connection,
            response,
        });
    }
}

/// Reports a connection error to the health monitor and the quarantine, and classifies it.
fn on_connection_error(
    node: &Node,
    call: &Call,
    in_flight: &InFlight,
    error: &ConnectionError,
) -> AttemptError {
    let endpoint = &in_flight.endpoint;
    let cause = error.to_string();
    let failure = match error {
        ConnectionError::Connect(_) => ContactFailure::Unconnected,
        _ => ContactFailure::Unanswered,
    };
    node.on_contact_failure(&endpoint.id, failure);
    if error.is_unsent() {
        node.pool.drop_endpoint(&endpoint.id);
        node.suspect(&endpoint.id, endpoint.incarnation, &cause);
        in_flight.on_ended();
    } else {
        node.on_disconnect(&endpoint.id, endpoint.incarnation, &cause);
        node.record_broken(call, in_flight);
    }
    if error.is_refused() {
        let now = node.now();
        let mut state = node.state.borrow_mut();
        state
            .monitor
            .on_refused(now, &endpoint.id, endpoint.incarnation);
        drop(state);
        node.record_if_dead(endpoint);
    }
    if error.is_unsent() {
        AttemptError::NotRun(RetryCause::Unsent)
    } else {
        AttemptError::MayHaveRun(RetryCause::Broken)
    }
}

/// Reads the complete body of an answer, up to [`MAX_ANSWER_BYTES`] and to the memory that
/// all bodies may use.
pub(crate) async fn read_body(
    node: &Node,
    call: &Call,
    in_flight: &InFlight,
    mut body: Incoming,
) -> Result<Bytes, AttemptError> {
    let endpoint = &in_flight.endpoint;
    let read = node.body_memory.read(&mut body, MAX_ANSWER_BYTES).await;
    if read.is_ok() {
        in_flight.on_ended();
    }
    read.map_err(|error| {
        info!(node.log, "answer not usable"; "request" => call.id_text(), "endpoint" => &*endpoint.id, "cause" => %error);
        if let BodyError::Incomplete(cause) = &error {
            node.on_disconnect(&endpoint.id, endpoint.incarnation, &cause.to_string());
            node.record_broken(call, in_flight);
        }
        AttemptError::MayHaveRun(RetryCause::Broken)
    })
}

/// Builds the request for one endpoint from the caller's.
fn build_request(
    node: &Node,
    call: &Call,
    endpoint: &Endpoint,
    deadline: Time,
    last_event: Option<&str>,
) -> Request<Full<Bytes>> {
    let names = node.dialect.headers();
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.target.clone();
    let headers = request.headers_mut();
    *headers = call.headers.clone();
    let left = deadline.since(node.now()).as_millis();
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

/// Limits the reuse of a connection to the idle timeout that its endpoint announced.
fn apply_keep_alive(node: &Node, connection: &mut Connection, headers: &HeaderMap) {
    let value = headers.get(KEEP_ALIVE).and_then(|v| v.to_str().ok());
    let seconds = value.and_then(|v| v.split(',').find_map(|p| p.trim().strip_prefix("timeout=")));
    if let Some(seconds) = seconds.and_then(|s| s.parse().ok()) {
        let idle = Duration::from_secs(seconds).saturating_sub(KEEP_ALIVE_MARGIN);
        connection.expires = Some(node.now() + idle);
    }
}

/// Checks that a response belongs to the request and that the endpoint ran the request.
///
/// A response without the request's id may be an earlier one that came once more on a kept
/// connection; it says nothing about this request, not even that it hasn't run. One without
/// the endpoint's stamp may come from something else at the endpoint's address. One with an
/// informational status is no final answer.
fn check_response(
    node: &Node,
    call: &Call,
    in_flight: &InFlight,
    response: &Response<Incoming>,
) -> Result<(), AttemptError> {
    let endpoint = &in_flight.endpoint;
    let names = node.dialect.headers();
    let headers = response.headers();
    let refused = headers.contains_key(&names.not_run)
        || response.status() == StatusCode::MISDIRECTED_REQUEST;
    let echoed = match headers.get(&names.request_id) {
        Some(id) => *id == call.id,
        // A request without an id is refused without one.
        None => refused && call.id.is_empty(),
    };
    if !echoed {
        let id = headers.get(&names.request_id).and_then(|v| v.to_str().ok());
        warn!(node.log, "answer to another request"; "request" => call.id_text(), "answered" => id, "status" => response.status().as_u16(), "endpoint" => &*endpoint.id);
        node.metrics.on_foreign_answer();
        return Err(AttemptError::MayHaveRun(RetryCause::Broken));
    }
    if response.status() == StatusCode::SERVICE_UNAVAILABLE {
        node.read_pause(endpoint, headers);
    }
    if refused {
        in_flight.on_ended();
        let cause = match response.status() {
            StatusCode::MISDIRECTED_REQUEST => RetryCause::Misdirected,
            status => node.on_rejected(call, endpoint, status),
        };
        if cause == RetryCause::Misdirected {
            node.pool.drop_endpoint(&endpoint.id);
            node.suspect(&endpoint.id, endpoint.incarnation, "misdirected");
        }
        return Err(AttemptError::NotRun(cause));
    }
    if response.status().is_informational() {
        return Err(AttemptError::MayHaveRun(RetryCause::Broken));
    }
    let stamped = headers.contains_key(&names.stamp);
    let encoded = headers.contains_key(CONTENT_ENCODING);
    if encoded || (response.status().is_success() && !stamped) {
        return Err(AttemptError::MayHaveRun(RetryCause::Broken));
    }
    node.on_accepted(endpoint);
    Ok(())
}
