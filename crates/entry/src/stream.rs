//! Calls whose answer is a stream of events.
//!
//! The caller gets status and headers with the first event, so that a request which
//! fails before that can still be retried or refused. A stream that breaks or stalls is
//! resumed at another leader after the last complete event that was forwarded; the
//! caller sees one uninterrupted answer.

use std::rc::Rc;
use std::time::Duration;

use bulrushhoist_fleet::{ContactFailure, Endpoint, LeaderChoice, Name, SlotLimit};
use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use slog::info;
use tokio::time::Instant;

use crate::attempt::{self, AttemptError, InFlight, WaitError, WaitPolicy, wait_for};
use crate::backlog::{BacklogReader, BacklogSender, Reading};
use crate::call::Call;
use crate::connection::Connection;
use crate::delivery::{StreamEnd, log_slow_caller, watch_delivery};
use crate::events::Events;
use crate::node::Node;
use crate::outcome::{CutCause, GaveUp, Refusal, RetryCause};
use crate::progress::Progress;
use crate::waiting::{await_leader, await_next_leader};

/// Pause of a begun stream while the retry budget is used up.
const BUDGET_PAUSE: Duration = Duration::from_millis(100);

/// A stream whose first event has arrived.
struct Running {
    in_flight: InFlight,
    connection: Connection,
    body: Incoming,
}

/// The first part of an endpoint's answer.
enum StreamStart {
    Events(Parts, Events, Box<Running>),
    /// An answer without events: an error, or an empty stream.
    Complete(Parts, Bytes, Name),
}

/// The answer to a streaming call.
pub(crate) enum StreamAnswer {
    /// Status and headers, and the chunks that follow.
    Events(Parts, BacklogReader, Name),
    /// A complete answer.
    Complete(Parts, Bytes, Name),
}

/// Runs a streaming call until its first event, and forwards the rest in a task of its
/// own.
pub(crate) async fn run(node: &Rc<Node>, call: Call) -> Result<StreamAnswer, (Call, Refusal)> {
    let mut progress = Progress::default();
    let started = start_stream(node, &call, &mut progress).await;
    match started {
        Err(gave_up) => Err((call, gave_up.refusal)),
        Ok(StreamStart::Complete(parts, body, endpoint)) => {
            Ok(StreamAnswer::Complete(parts, body, endpoint))
        }
        Ok(StreamStart::Events(parts, first, running)) => {
            let critical = node
                .state
                .borrow()
                .catalog
                .is_latency_critical(&call.service);
            let reading = match critical {
                true => Reading::Ahead,
                false => Reading::Paced,
            };
            let (chunks, reader) = node.body_memory.backlogs.open(reading);
            progress.events = first.count;
            let pushed = chunks.push(first.bytes, node.clock.instant(call.deadline));
            if pushed.await.is_err() {
                return Err((call, Refusal::TimedOut));
            }
            let endpoint = running.in_flight.endpoint.id.clone();
            let node = node.clone();
            tokio::task::spawn_local(async move {
                let cut = forward_events(&node, &call, progress, running, &chunks).await;
                let id = call.id.clone();
                drop(call);
                watch_delivery(&node, &id, cut, &chunks).await;
            });
            Ok(StreamAnswer::Events(parts, reader, endpoint))
        }
    }
}

/// Sends the call to leaders until one of them returns an event, or no attempt is left.
async fn start_stream(
    node: &Rc<Node>,
    call: &Call,
    progress: &mut Progress,
) -> Result<StreamStart, GaveUp> {
    let mut refusal = Refusal::NoEndpoint;
    loop {
        let retried = progress.runs + progress.refusals > 0;
        let unbegun = !progress.has_begun();
        let placed = tokio::select! {
            biased;
            () = node.until_quarantined(call), if unbegun => {
                Err(node.quarantine_refusal(call).unwrap_or(Refusal::Quarantined))
            }
            placed = place(node, call, progress, retried) => placed,
        };
        let endpoint = match placed {
            Ok((endpoint, waited)) => {
                progress.waited += waited;
                endpoint
            }
            Err(reason) => {
                let cause = match reason {
                    Refusal::TimedOut => CutCause::Deadline,
                    _ if reason.is_quarantine() => CutCause::Quarantined,
                    _ => CutCause::NoLeader,
                };
                let refusal = match retried {
                    true => refusal.without_retry(reason),
                    false => reason,
                };
                return Err(GaveUp::new(refusal, cause));
            }
        };
        if retried && !take_retry(node, call) {
            if unbegun {
                return Err(GaveUp::new(refusal, CutCause::Budget));
            }
            // The budget may have a retry again before the deadline.
            tokio::time::sleep(BUDGET_PAUSE).await;
            continue;
        }
        progress.on_sent(&endpoint.id);
        // Dropping the attempt closes its connection, which may save the endpoint.
        let tried = tokio::select! {
            biased;
            () = node.until_quarantined(call), if unbegun => {
                return Err(GaveUp::new(Refusal::AnswerLost, CutCause::Quarantined));
            }
            tried = try_leader(node, call, progress, endpoint) => tried,
        };
        let failed = match tried {
            Ok(started) => return Ok(started),
            Err(failed) => failed,
        };
        progress.on_failed(node.now());
        let cause = match failed {
            AttemptError::TimedOut => {
                return Err(GaveUp::new(Refusal::TimedOut, CutCause::Deadline));
            }
            AttemptError::NotRun(cause) => {
                if refusal != Refusal::AnswerLost {
                    refusal = Refusal::EndpointRefused;
                }
                cause
            }
            AttemptError::MayHaveRun(cause) => {
                refusal = Refusal::AnswerLost;
                if !call.route.is_idempotent() {
                    return Err(GaveUp::new(refusal, CutCause::NotResumable));
                }
                cause
            }
        };
        match cause {
            RetryCause::Unsent => {}
            RetryCause::Refused | RetryCause::Unfit | RetryCause::Misdirected => {
                progress.refusals = progress.refusals.saturating_add(1);
            }
            RetryCause::Broken | RetryCause::Silent | RetryCause::Failed => progress.runs += 1,
        }
        if progress.runs >= call.route.max_attempts {
            return Err(GaveUp::new(refusal, CutCause::Attempts));
        }
        if unbegun && progress.refusals > cause.max_refusals() {
            return Err(GaveUp::new(refusal, CutCause::NoLeader));
        }
        node.metrics.on_retry(cause);
        info!(node.log, "sent once more"; "request" => call.id_text(), "cause" => %cause, "runs" => progress.runs, "refusals" => progress.refusals, "events" => progress.events, "last_event" => progress.splitter.last_id());
    }
}

/// Takes a retry from the budget of the call's service, if there is one.
fn take_retry(node: &Node, call: &Call) -> bool {
    let now = node.now();
    let mut state = node.state.borrow_mut();
    state.take_retry(now, &call.service, node.bounds.get().retries)
}

/// Waits for the leader of the next attempt.
async fn place(
    node: &Rc<Node>,
    call: &Call,
    progress: &Progress,
    retried: bool,
) -> Result<(Endpoint, Duration), Refusal> {
    match progress.has_begun() {
        true => await_next_leader(node, call, |now| progress.avoided(now)).await,
        false => await_leader(node, call, &progress.avoided(node.now()), retried).await,
    }
}

/// Returns how long to wait in the next attempt. A stall does not end the last attempt
/// that is allowed, since nothing could follow it.
fn wait_policy(call: &Call, progress: &Progress) -> WaitPolicy {
    let last = progress.runs + 1 >= call.route.max_attempts;
    match call.route.resumable && !last {
        true => WaitPolicy::StallOrDeadline,
        false => WaitPolicy::Deadline,
    }
}

/// Returns whether a leader that has not had the stream could take it now and the retry
/// budget allows it. Otherwise the stream stays at its stalled leader, which may recover.
fn can_move(node: &Node, call: &Call, avoid: &[Name]) -> bool {
    let Some(model) = call.model.clone() else {
        return false;
    };
    let key = (call.service.clone(), model);
    let now = node.now();
    let mut state = node.state.borrow_mut();
    if !state.has_retry(now, &call.service, node.bounds.get().retries) {
        return false;
    }
    let centre = &node.settings.data_centre;
    let placed = state.choose_leader(now, centre, &key, call.work, SlotLimit::Begun, avoid);
    matches!(placed, LeaderChoice::Leader(..))
}

/// Sends the call to a leader and reads up to the first complete event.
async fn try_leader(
    node: &Rc<Node>,
    call: &Call,
    progress: &mut Progress,
    endpoint: Endpoint,
) -> Result<StreamStart, AttemptError> {
    progress.splitter.discard_partial();
    let wait_policy = wait_policy(call, progress);
    let sent = node.now();
    let mut in_flight = InFlight::start(node, call, endpoint, call.work.prompt_tokens);
    let endpoint = &in_flight.endpoint;
    let last = progress.splitter.last_id();
    let opened = attempt::send(node, call, &in_flight, call.deadline, wait_policy, last).await?;
    let (parts, mut body) = opened.response.into_parts();
    let connection = opened.connection;
    if !parts.status.is_success() {
        let reading = attempt::read_body(node, call, &in_flight, body);
        let read = wait_for(node, endpoint, call.deadline, wait_policy, reading).await;
        let body = match read {
            Ok(read) => read?,
            Err(WaitError::TimedOut) => return Err(AttemptError::TimedOut),
            Err(WaitError::Stalled) => return Err(AttemptError::MayHaveRun(RetryCause::Silent)),
        };
        let retry = parts.status.is_server_error() && call.route.is_idempotent();
        if retry && progress.runs + 1 < call.route.max_attempts {
            return Err(AttemptError::MayHaveRun(RetryCause::Failed));
        }
        return Ok(StreamStart::Complete(parts, body, endpoint.id.clone()));
    }
    match next_events(node, call, &in_flight, &mut body, progress).await {
        Ok(Some(events)) => {
            in_flight.on_first_event();
            record_first_event(node, call, node.now().since(sent));
            let running = Box::new(Running {
                in_flight,
                connection,
                body,
            });
            Ok(StreamStart::Events(parts, events, running))
        }
        // Without a length the end of the connection says nothing: the endpoint may have died.
        Ok(None) if !is_framed(&parts.headers) => {
            let failed = AttemptError::MayHaveRun(RetryCause::Broken);
            Err(report_failure(node, call, &in_flight, failed))
        }
        Ok(None) => {
            in_flight.on_ended();
            node.keep_connection(&in_flight.endpoint, connection);
            Ok(StreamStart::Complete(
                parts,
                Bytes::new(),
                in_flight.endpoint.id.clone(),
            ))
        }
        Err(failed) => Err(report_failure(node, call, &in_flight, failed)),
    }
}

/// Returns whether an answer says where its body ends.
fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Records the time from sending a call to its first event, from which the queue
/// estimates whether requests can meet their objective, and that no part of its prompt
/// crashes endpoints.
fn record_first_event(node: &Node, call: &Call, took: Duration) {
    let now = node.now();
    node.state
        .borrow_mut()
        .quarantine
        .on_begun(now, &call.parts);
    node.report_verdicts();
    if let Some(model) = &call.model {
        let key = (call.service.clone(), model.clone());
        let mut state = node.state.borrow_mut();
        state.queue(&key).first_events.record(took);
    }
}

/// Reports a failed stream to the health monitor and, if its connection broke, as a
/// strike against the request. Returns the error unchanged.
fn report_failure(
    node: &Node,
    call: &Call,
    in_flight: &InFlight,
    failed: AttemptError,
) -> AttemptError {
    let endpoint = &in_flight.endpoint;
    match failed {
        AttemptError::MayHaveRun(RetryCause::Broken) => {
            node.on_contact_failure(&endpoint.id, ContactFailure::Unanswered);
            node.on_disconnect(&endpoint.id, endpoint.incarnation, "streams broke");
            node.record_broken(call, in_flight);
        }
        AttemptError::MayHaveRun(RetryCause::Silent) => {
            node.on_contact_failure(&endpoint.id, ContactFailure::Unanswered);
            node.suspect(&endpoint.id, endpoint.incarnation, "stream stalled");
        }
        _ => {}
    }
    failed
}

/// Reads until at least one event is complete. Returns `None` at the end of the stream.
async fn next_events(
    node: &Node,
    call: &Call,
    in_flight: &InFlight,
    body: &mut Incoming,
    progress: &mut Progress,
) -> Result<Option<Events>, AttemptError> {
    let endpoint = &in_flight.endpoint;
    let wait_policy = wait_policy(call, progress);
    loop {
        let frame = wait_for(node, endpoint, call.deadline, wait_policy, body.frame()).await;
        let frame = match frame {
            Ok(frame) => frame,
            Err(WaitError::TimedOut) => return Err(AttemptError::TimedOut),
            Err(WaitError::Stalled) if can_move(node, call, &progress.avoided(node.now())) => {
                return Err(AttemptError::MayHaveRun(RetryCause::Silent));
            }
            Err(WaitError::Stalled) => {
                node.on_contact_failure(&endpoint.id, ContactFailure::Unanswered);
                node.suspect(
                    &endpoint.id,
                    endpoint.incarnation,
                    "stream stalled, no other leader",
                );
                continue;
            }
        };
        let splitter = &mut progress.splitter;
        let frame = match frame {
            None if splitter.has_partial() => {
                return Err(AttemptError::MayHaveRun(RetryCause::Broken));
            }
            None => return Ok(None),
            Some(Err(_)) => return Err(AttemptError::MayHaveRun(RetryCause::Broken)),
            Some(Ok(frame)) => frame,
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        in_flight.on_activity();
        node.on_call_bytes(endpoint, data.len());
        match splitter.push(&data) {
            Ok(Some(events)) => return Ok(Some(events)),
            Ok(None) => {}
            Err(_) => return Err(AttemptError::MayHaveRun(RetryCause::Broken)),
        }
    }
}

/// Forwards events to the caller until the stream ends, and resumes the stream at other
/// leaders if it breaks or stalls. Returns why it was cut, if it was.
async fn forward_events(
    node: &Rc<Node>,
    call: &Call,
    mut progress: Progress,
    mut running: Box<Running>,
    chunks: &BacklogSender,
) -> Option<CutCause> {
    let deadline = node.clock.instant(call.deadline);
    let outcome = loop {
        let next = next_events(
            node,
            call,
            &running.in_flight,
            &mut running.body,
            &mut progress,
        );
        let reading = Instant::now();
        let read = tokio::select! {
            closed = chunks.closed() => break StreamEnd::from(closed),
            read = next => read,
        };
        let failed = match read {
            Ok(Some(events)) => {
                chunks.on_read(reading.elapsed());
                progress.events += events.count;
                if let Err(closed) = chunks.push(events.bytes, deadline).await {
                    break StreamEnd::from(closed);
                }
                continue;
            }
            Ok(None) => {
                let Running {
                    in_flight,
                    connection,
                    ..
                } = *running;
                in_flight.on_ended();
                node.keep_connection(&in_flight.endpoint, connection);
                node.record_answered(&call.id, call.fingerprint, StatusCode::OK);
                break StreamEnd::Whole;
            }
            // Leaders cut off what stays unread, which shows no fault of theirs.
            Err(failed @ AttemptError::MayHaveRun(RetryCause::Broken)) if chunks.was_unread() => {
                running.in_flight.on_ended();
                failed
            }
            Err(failed) => report_failure(node, call, &running.in_flight, failed),
        };
        if matches!(failed, AttemptError::TimedOut) {
            break StreamEnd::Cut(CutCause::Deadline);
        }
        if !call.route.resumable {
            break StreamEnd::Cut(CutCause::NotResumable);
        }
        drop(running);
        progress.on_failed(node.now());
        progress.runs += 1;
        if progress.runs >= call.route.max_attempts {
            break StreamEnd::Cut(CutCause::Attempts);
        }
        let restarted = tokio::select! {
            closed = chunks.closed() => break StreamEnd::from(closed),
            restarted = start_stream(node, call, &mut progress) => restarted,
        };
        match restarted {
            Ok(StreamStart::Events(_, events, next)) => {
                progress.events += events.count;
                running = next;
                chunks.on_resumed();
                if let Err(closed) = chunks.push(events.bytes, deadline).await {
                    break StreamEnd::from(closed);
                }
            }
            // The stream had broken after its last event: nothing is left to forward.
            Ok(StreamStart::Complete(parts, body, _))
                if parts.status.is_success() && body.is_empty() =>
            {
                break StreamEnd::Whole;
            }
            Ok(StreamStart::Complete(..)) => break StreamEnd::Cut(CutCause::OtherAnswer),
            Err(gave_up) => break StreamEnd::Cut(gave_up.cause),
        }
    };
    let cause = outcome.cut_cause();
    if let StreamEnd::TooSlow(bytes) = outcome {
        log_slow_caller(node, &call.id, bytes);
    }
    if let Some(cause) = cause {
        node.metrics.on_cut_stream(cause);
    }
    chunks.end(cause.is_some());
    let cut = cause.map(|c| c.to_string());
    info!(node.log, "stream ended"; "request" => call.id_text(), "outcome" => %outcome, "cause" => cut, "events" => progress.events, "runs" => progress.runs + 1, "waited_ms" => progress.waited.as_millis() as u64, "took_ms" => node.now().since(call.received).as_millis() as u64);
    cause
}
