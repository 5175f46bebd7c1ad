//! Calls with a single answer instead of a stream.

use std::rc::Rc;
use std::time::Duration;

use bulrushhoist_core::Time;
use bulrushhoist_fleet::{ContactFailure, Endpoint, Name, PlainChoice};
use bytes::Bytes;
use hyper::http::response::Parts;
use smallvec::SmallVec;

use crate::attempt::{self, AttemptError, InFlight, WaitPolicy};
use crate::call::Call;
use crate::node::Node;
use crate::outcome::{Refusal, RetryCause};

/// Share of the route's objective after which an attempt is given up if the call may then
/// be sent to another endpoint.
const ATTEMPT_TIME_SHARE: f64 = 0.7;

/// Shortest wait for the limit of an endpoint.
const MIN_LIMIT_WAIT: Duration = Duration::from_millis(5);

/// An endpoint's answer.
pub(crate) struct PlainAnswer {
    pub(crate) parts: Parts,
    pub(crate) body: Bytes,
    pub(crate) endpoint: Name,
}

/// Runs a call at one endpoint, and retries it at others as far as its route and the
/// retry budget allow.
pub(crate) async fn run(node: &Rc<Node>, call: &Call) -> Result<PlainAnswer, Refusal> {
    let mut tried: SmallVec<[Name; 4]> = SmallVec::new();
    let mut sends = 0;
    let mut failure: Option<PlainAnswer> = None;
    let mut refusal = Refusal::NoEndpoint;
    loop {
        let now = node.now();
        if now >= call.deadline {
            return failure.ok_or(Refusal::TimedOut);
        }
        let endpoint = match choose_endpoint(node, call, now, &tried) {
            Ok(Chosen::Endpoint(endpoint)) => *endpoint,
            Ok(Chosen::After(time)) => {
                tokio::time::sleep(time).await;
                continue;
            }
            Err(reason) if tried.is_empty() => return Err(reason),
            Err(reason) => return failure.ok_or(refusal.without_retry(reason)),
        };
        if sends > 0 && node.quarantined(call).is_some() {
            return failure.ok_or(refusal);
        }
        if sends > 0
            && !node
                .state
                .borrow_mut()
                .take_retry(now, &call.service, node.bounds.get().retries)
        {
            return failure.ok_or(refusal);
        }
        let last = sends + 1 >= call.route.max_attempts || !call.route.is_idempotent();
        let attempt_end = match last {
            true => call.deadline,
            false => call
                .deadline
                .min(now + call.route.objective.mul_f64(ATTEMPT_TIME_SHARE)),
        };
        tried.push(endpoint.id.clone());
        let (cause, maybe_ran) = match attempt_once(node, call, endpoint, attempt_end).await {
            Ok(answer) if !answer.parts.status.is_server_error() => return Ok(answer),
            Ok(answer) => {
                failure = Some(answer);
                (RetryCause::Failed, true)
            }
            Err(AttemptError::TimedOut) if node.now() >= call.deadline => {
                return failure.ok_or(Refusal::TimedOut);
            }
            Err(AttemptError::TimedOut) => (RetryCause::Silent, true),
            Err(AttemptError::MayHaveRun(cause)) => (cause, true),
            Err(AttemptError::NotRun(cause)) => (cause, false),
        };
        if cause != RetryCause::Unsent {
            sends += 1;
        }
        if maybe_ran {
            refusal = Refusal::AnswerLost;
        } else if refusal == Refusal::NoEndpoint {
            refusal = Refusal::EndpointRefused;
        }
        let may_retry = !maybe_ran || call.route.is_idempotent();
        if !may_retry || sends >= call.route.max_attempts {
            return failure.ok_or(refusal);
        }
        node.metrics.on_retry(cause);
    }
}

/// Where a call goes next.
enum Chosen {
    Endpoint(Box<Endpoint>),
    /// Every endpoint has reached its limit, and one takes the call after this time.
    After(Duration),
}

fn choose_endpoint(node: &Node, call: &Call, now: Time, tried: &[Name]) -> Result<Chosen, Refusal> {
    let mut state = node.state.borrow_mut();
    match state.choose_endpoint(now, &node.settings.data_centre, &call.service, tried) {
        PlainChoice::Endpoint(id) => {
            let endpoint = state.roster.get(&id).cloned();
            let endpoint = endpoint.ok_or(Refusal::NoEndpoint)?;
            Ok(Chosen::Endpoint(Box::new(endpoint)))
        }
        // Such a call has little time; its caller knows best whether to come back.
        PlainChoice::Paused(_) => Err(Refusal::Paused),
        PlainChoice::Limited(time) if now + time <= call.received + call.route.objective / 2 => {
            Ok(Chosen::After(time.max(MIN_LIMIT_WAIT)))
        }
        PlainChoice::Limited(_) => Err(Refusal::Limited),
        PlainChoice::Unavailable => Err(Refusal::NoEndpoint),
    }
}

async fn attempt_once(
    node: &Rc<Node>,
    call: &Call,
    endpoint: Endpoint,
    attempt_end: Time,
) -> Result<PlainAnswer, AttemptError> {
    let in_flight = InFlight::start(node, call, endpoint, 0);
    let endpoint = &in_flight.endpoint;
    let answered = exchange(node, call, &in_flight);
    let limit = node.clock.instant(attempt_end);
    let answer = tokio::time::timeout_at(limit, answered).await;
    match answer {
        Err(_) => {
            node.on_contact_failure(&endpoint.id, ContactFailure::Unanswered);
            node.suspect(&endpoint.id, endpoint.incarnation, "no answer in time");
            Err(AttemptError::TimedOut)
        }
        Ok(Ok(answer)) => {
            in_flight.on_activity();
            Ok(answer)
        }
        Ok(Err(failed)) => Err(failed),
    }
}

async fn exchange(
    node: &Node,
    call: &Call,
    in_flight: &InFlight,
) -> Result<PlainAnswer, AttemptError> {
    let endpoint = &in_flight.endpoint;
    let wait_policy = WaitPolicy::Deadline;
    let opened = attempt::send(node, call, in_flight, call.deadline, wait_policy, None).await?;
    let (parts, body) = opened.response.into_parts();
    let body = attempt::read_body(node, call, in_flight, body).await?;
    node.on_call_bytes(endpoint, body.len());
    node.keep_connection(endpoint, opened.connection);
    Ok(PlainAnswer {
        parts,
        body,
        endpoint: endpoint.id.clone(),
    })
}
