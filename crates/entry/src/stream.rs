//! Calls whose answer is a stream of events.
//!
//! The caller gets the head of the answer with the first event. A stream that
//! breaks or stalls goes on at another head, after the last whole event that was
//! passed on, within the one answer.

use std::rc::Rc;
use std::time::Duration;

use bulrushhoist_core::Time;
use bulrushhoist_fleet::{Endpoint, GroupState, Name, Placement, QueuedRequest, SlotLimit};
use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use hyper::http::response::Parts;
use slog::info;
use smallvec::SmallVec;
use tokio::sync::{mpsc, oneshot};

use crate::attempt::{self, Failed, Flight, Halt, Patience, watched};
use crate::body::CutShort;
use crate::call::Call;
use crate::events::{EventSplitter, Events};
use crate::link::Link;
use crate::node::Node;
use crate::outcome::{Refusal, RetryCause};
use crate::state::ModelKey;

/// Pieces that may wait for a slow caller before the endpoint is read no further.
const PIECES_WAITING: usize = 16;
/// Endpoints that may refuse a stream before its caller is refused.
const REFUSALS_MOST: u8 = 1;

/// What has happened to a stream so far.
#[derive(Default)]
pub(crate) struct Progress {
    splitter: EventSplitter,
    avoid: SmallVec<[Name; 4]>,
    /// Endpoints that may have run it.
    runs: u8,
    /// Time spent in line.
    waited: Duration,
    /// Endpoints that refused it without running it.
    refusals: u8,
    events: usize,
}

/// A stream whose first event is there.
struct Running {
    flight: Flight,
    link: Link,
    body: Incoming,
}

/// What an endpoint answered.
enum Start {
    Events(Parts, Events, Box<Running>),
    /// An answer without events: a failure, or a stream that is empty.
    Whole(Parts, Bytes, Name),
}

/// The answer to a streaming call.
pub(crate) enum StreamAnswer {
    /// The head and the pieces that follow.
    Events(Parts, mpsc::Receiver<Result<Bytes, CutShort>>, Name),
    /// A whole answer.
    Whole(Parts, Bytes, Name),
}

/// Runs a streaming call until its first event, and lets the rest follow.
pub(crate) async fn run(node: &Rc<Node>, call: Call) -> Result<StreamAnswer, (Call, Refusal)> {
    let mut progress = Progress::default();
    let started = start(node, &call, &mut progress).await;
    match started {
        Err(refusal) => Err((call, refusal)),
        Ok(Start::Whole(parts, body, endpoint)) => Ok(StreamAnswer::Whole(parts, body, endpoint)),
        Ok(Start::Events(parts, first, running)) => {
            let (pieces, receiver) = mpsc::channel(PIECES_WAITING);
            let endpoint = running.flight.endpoint.id.clone();
            let node = node.clone();
            tokio::task::spawn_local(async move {
                relay(&node, &call, progress, first, running, pieces).await;
            });
            Ok(StreamAnswer::Events(parts, receiver, endpoint))
        }
    }
}

/// Finds a head and gets the first event from it.
async fn start(node: &Rc<Node>, call: &Call, progress: &mut Progress) -> Result<Start, Refusal> {
    let mut refusal = Refusal::NoEndpoint;
    loop {
        let resumed = progress.runs + progress.refusals > 0;
        let endpoint = match place(node, call, progress, resumed).await {
            Ok(endpoint) => endpoint,
            Err(reason) => return Err(if resumed { refusal } else { reason }),
        };
        if resumed {
            let now = node.now();
            let mut state = node.state.borrow_mut();
            if !state.take_retry(now, &call.service, &node.settings) {
                return Err(refusal);
            }
        }
        progress.avoid.push(endpoint.id.clone());
        let failed = match once(node, call, progress, endpoint).await {
            Ok(start) => return Ok(start),
            Err(failed) => failed,
        };
        let cause = match failed {
            Failed::TimedOut => return Err(Refusal::TimedOut),
            Failed::NotRun(cause) => {
                if refusal != Refusal::AnswerLost {
                    refusal = Refusal::EndpointRefused;
                }
                cause
            }
            Failed::MayHaveRun(cause) => {
                refusal = Refusal::AnswerLost;
                if !call.route.is_idempotent() {
                    return Err(refusal);
                }
                cause
            }
        };
        match cause {
            RetryCause::Unsent => {}
            RetryCause::Refused | RetryCause::Misdirected => progress.refusals += 1,
            RetryCause::Broken | RetryCause::Silent | RetryCause::Failed => progress.runs += 1,
        }
        if progress.runs >= call.route.max_attempts || progress.refusals > REFUSALS_MOST {
            return Err(refusal);
        }
        node.metrics.on_retry(cause);
        info!(node.log, "sent once more"; "request" => call.id_text(), "cause" => %cause, "runs" => progress.runs, "refusals" => progress.refusals, "events" => progress.events, "last_event" => progress.splitter.last_id());
    }
}

/// Takes a request out of its line when its caller leaves.
struct InLine<'n> {
    node: &'n Node,
    key: &'n ModelKey,
    id: u64,
}

impl Drop for InLine<'_> {
    fn drop(&mut self) {
        let mut state = self.node.state.borrow_mut();
        let line = state.line(self.key);
        line.waiting.remove(self.id);
        line.wakers.remove(&self.id);
    }
}

/// Returns a head for the call, after a wait in line if all are full.
/// A stream that goes on doesn't wait behind new ones.
async fn place(
    node: &Rc<Node>,
    call: &Call,
    progress: &mut Progress,
    resumed: bool,
) -> Result<Endpoint, Refusal> {
    let avoid = progress.avoid.clone();
    let model = call.model.clone().ok_or(Refusal::BadRequest)?;
    let key = (call.service.clone(), model);
    let since = node.now();
    let mut woken = resumed;
    loop {
        let now = node.now();
        if now >= call.end {
            return Err(Refusal::TimedOut);
        }
        let waiter = {
            let mut state = node.state.borrow_mut();
            let line = state.line(&key);
            let first = line.firsts.estimate();
            let late = !resumed && now + first > call.objective();
            // A punctual request needn't wait behind late ones.
            let behind = !woken && line.waiting.has_ahead(now, first, late);
            let placed = match behind {
                true => Placement::Full,
                false => {
                    let room = if late {
                        SlotLimit::Unreserved
                    } else {
                        SlotLimit::All
                    };
                    let centre = &node.settings.data_centre;
                    state.place(now, centre, &key, call.work, room, &avoid)
                }
            };
            match placed {
                Placement::Leader(id, _) => {
                    state.line(&key).waiting.on_start(now);
                    let found = state.roster.get(&id).cloned();
                    progress.waited += now.since(since);
                    node.metrics.on_wait(now.since(since));
                    return found.ok_or(Refusal::NoEndpoint);
                }
                Placement::Unavailable => return Err(Refusal::NoEndpoint),
                Placement::Full => join_line(&mut state, now, &key, call)?,
            }
        };
        let (id, waiter) = waiter;
        let guard = InLine {
            node,
            key: &key,
            id,
        };
        let limit = node.clock.instant(call.end);
        let answer = tokio::time::timeout_at(limit, waiter).await;
        drop(guard);
        woken = match answer {
            Ok(Ok(true)) => true,
            Ok(_) => return Err(Refusal::WaitedOut),
            Err(_) => return Err(Refusal::TimedOut),
        };
    }
}

fn join_line(
    state: &mut crate::state::State,
    now: Time,
    key: &ModelKey,
    call: &Call,
) -> Result<(u64, oneshot::Receiver<bool>), Refusal> {
    state.next_turn += 1;
    let id = state.next_turn;
    let line = state.line(key);
    let turn = QueuedRequest {
        id,
        priority: call.urgency,
        received: call.received,
        objective: call.objective(),
        deadline: call.end,
    };
    line.waiting
        .enqueue(now, turn)
        .map_err(|_| Refusal::LineFull)?;
    let (waker, waiter) = oneshot::channel();
    line.wakers.insert(id, waker);
    Ok((id, waiter))
}

/// Returns how long the next run is waited for: silence is no reason to give up the
/// last run that is allowed.
fn patience(call: &Call, progress: &Progress) -> Patience {
    let last = progress.runs + 1 >= call.route.max_attempts;
    match call.route.resumable && !last {
        true => Patience::UntilStalled,
        false => Patience::UntilEnd,
    }
}

/// Returns whether a head other than those that a stream has been at could take it,
/// and the budget allows it: a silent head is better than none.
fn is_movable(node: &Node, call: &Call, avoid: &[Name]) -> bool {
    let Some(model) = call.model.clone() else {
        return false;
    };
    let key = (call.service.clone(), model);
    let now = node.now();
    let mut state = node.state.borrow_mut();
    if !state.has_retry(now, &call.service, &node.settings) {
        return false;
    }
    let centre = &node.settings.data_centre;
    let placed = state.place(now, centre, &key, call.work, SlotLimit::All, avoid);
    matches!(placed, Placement::Leader(..))
}

/// Sends the call to a head and reads up to the first whole event.
async fn once(
    node: &Rc<Node>,
    call: &Call,
    progress: &mut Progress,
    endpoint: Endpoint,
) -> Result<Start, Failed> {
    progress.splitter.drop_torn();
    let patience = patience(call, progress);
    let sent = node.now();
    let mut flight = Flight::start(node, endpoint, call.work.prompt_tokens);
    let endpoint = &flight.endpoint;
    let last = progress.splitter.last_id();
    let opened = attempt::send(node, call, endpoint, call.end, patience, last).await?;
    let (parts, mut body) = opened.answer.into_parts();
    let link = opened.link;
    if !parts.status.is_success() {
        let read = watched(node, endpoint, call.end, patience, body.collect()).await;
        let Ok(Ok(body)) = read else {
            return Err(Failed::MayHaveRun(RetryCause::Broken));
        };
        let retry = parts.status.is_server_error() && call.route.is_idempotent();
        if retry && progress.runs + 1 < call.route.max_attempts {
            return Err(Failed::MayHaveRun(RetryCause::Failed));
        }
        return Ok(Start::Whole(parts, body.to_bytes(), endpoint.id.clone()));
    }
    match next_events(node, call, &flight, &mut body, progress).await {
        Ok(Some(events)) => {
            flight.on_first_event();
            note_first(node, call, node.now().since(sent));
            let running = Box::new(Running { flight, link, body });
            Ok(Start::Events(parts, events, running))
        }
        Ok(None) => {
            node.links.put(node.now(), &flight.endpoint, link);
            Ok(Start::Whole(
                parts,
                Bytes::new(),
                flight.endpoint.id.clone(),
            ))
        }
        Err(failed) => Err(on_broken(node, call, &flight, failed)),
    }
}

/// Takes how long the first event of a call took.
fn note_first(node: &Node, call: &Call, took: Duration) {
    if let Some(model) = &call.model {
        let key = (call.service.clone(), model.clone());
        let mut state = node.state.borrow_mut();
        state.line(&key).firsts.record(took);
    }
}

/// Notes why a stream can't go on at its head.
fn on_broken(node: &Node, call: &Call, flight: &Flight, failed: Failed) -> Failed {
    let endpoint = &flight.endpoint;
    match failed {
        Failed::MayHaveRun(RetryCause::Broken) => {
            node.on_broken(&endpoint.id, endpoint.born, "streams broke");
            let now = node.now();
            let mut state = node.state.borrow_mut();
            // A head that was told to leave its group breaks streams off, too.
            let known = state.roster.get(&endpoint.id);
            let membership = known.and_then(|e| e.membership.as_ref());
            if membership.is_none_or(|m| m.state == GroupState::Open) {
                state.strike(now, call.fingerprint, &endpoint.id, endpoint.born);
            }
        }
        Failed::MayHaveRun(RetryCause::Silent) => {
            node.suspect(&endpoint.id, endpoint.born, "stream stalled");
        }
        _ => {}
    }
    failed
}

/// Reads until an event is whole. `None` is the end of the stream.
async fn next_events(
    node: &Node,
    call: &Call,
    flight: &Flight,
    body: &mut Incoming,
    progress: &mut Progress,
) -> Result<Option<Events>, Failed> {
    let endpoint = &flight.endpoint;
    let patience = patience(call, progress);
    loop {
        let frame = watched(node, endpoint, call.end, patience, body.frame()).await;
        let frame = match frame {
            Ok(frame) => frame,
            Err(Halt::TimedOut) => return Err(Failed::TimedOut),
            Err(Halt::Silent) if is_movable(node, call, &progress.avoid) => {
                return Err(Failed::MayHaveRun(RetryCause::Silent));
            }
            Err(Halt::Silent) => {
                node.suspect(&endpoint.id, endpoint.born, "stream stalled, no other head");
                continue;
            }
        };
        let splitter = &mut progress.splitter;
        let frame = match frame {
            None if splitter.is_torn() => return Err(Failed::MayHaveRun(RetryCause::Broken)),
            None => return Ok(None),
            Some(Err(_)) => return Err(Failed::MayHaveRun(RetryCause::Broken)),
            Some(Ok(frame)) => frame,
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        node.on_life(&endpoint.id, endpoint.born);
        match splitter.push(&data) {
            Ok(Some(events)) => return Ok(Some(events)),
            Ok(None) => {}
            Err(_) => return Err(Failed::MayHaveRun(RetryCause::Broken)),
        }
    }
}

/// Passes events on until the stream ends, going on at other heads if need be.
async fn relay(
    node: &Rc<Node>,
    call: &Call,
    mut progress: Progress,
    first: Events,
    mut running: Box<Running>,
    pieces: mpsc::Sender<Result<Bytes, CutShort>>,
) {
    progress.events = first.count;
    if pieces.send(Ok(first.bytes)).await.is_err() {
        return;
    }
    let outcome = loop {
        let next = next_events(
            node,
            call,
            &running.flight,
            &mut running.body,
            &mut progress,
        );
        let read = tokio::select! {
            () = pieces.closed() => break "caller left",
            read = next => read,
        };
        let failed = match read {
            Ok(Some(events)) => {
                progress.events += events.count;
                if pieces.send(Ok(events.bytes)).await.is_err() {
                    break "caller left";
                }
                continue;
            }
            Ok(None) => {
                let Running { flight, link, .. } = *running;
                node.links.put(node.now(), &flight.endpoint, link);
                node.state
                    .borrow_mut()
                    .quarantine
                    .on_finished(call.fingerprint, true);
                break "whole";
            }
            Err(failed) => on_broken(node, call, &running.flight, failed),
        };
        if matches!(failed, Failed::TimedOut) || !call.route.resumable {
            let _ = pieces.send(Err(CutShort)).await;
            break "cut";
        }
        drop(running);
        progress.runs += 1;
        if progress.runs >= call.route.max_attempts {
            let _ = pieces.send(Err(CutShort)).await;
            break "cut";
        }
        let again = tokio::select! {
            () = pieces.closed() => break "caller left",
            again = start(node, call, &mut progress) => again,
        };
        match again {
            Ok(Start::Events(_, events, next)) => {
                progress.events += events.count;
                running = next;
                if pieces.send(Ok(events.bytes)).await.is_err() {
                    break "caller left";
                }
            }
            // The endpoint had nothing to add after the last event.
            Ok(Start::Whole(parts, body, _)) if parts.status.is_success() && body.is_empty() => {
                break "whole";
            }
            Ok(Start::Whole(..)) | Err(_) => {
                let _ = pieces.send(Err(CutShort)).await;
                break "cut";
            }
        }
    };
    info!(node.log, "stream ended"; "request" => call.id_text(), "outcome" => outcome, "events" => progress.events, "runs" => progress.runs + 1, "waited_ms" => progress.waited.as_millis() as u64, "took_ms" => node.now().since(call.received).as_millis() as u64);
}
