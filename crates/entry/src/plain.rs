//! Calls with one answer.

use std::rc::Rc;

use bulrushhoist_core::Time;
use bulrushhoist_fleet::{Endpoint, Name, PlainChoice};
use bytes::Bytes;
use hyper::http::response::Parts;
use smallvec::SmallVec;

use crate::attempt::{self, Failed, Flight, Patience};
use crate::call::Call;
use crate::link::collect;
use crate::node::Node;
use crate::outcome::{Refusal, RetryCause};

/// Bytes of an answer at most.
const ANSWER_BYTES: usize = 8 * 1_024 * 1_024;
/// Part of the objective for which one endpoint is waited for, if the call may be
/// sent to another one after that.
const SILENT_PART: f64 = 0.7;

/// An endpoint's answer.
pub(crate) struct PlainAnswer {
    pub(crate) parts: Parts,
    pub(crate) body: Bytes,
    pub(crate) endpoint: Name,
}

/// Runs a call at one endpoint, or at several if that is allowed.
pub(crate) async fn run(node: &Rc<Node>, call: &Call) -> Result<PlainAnswer, Refusal> {
    let mut tried: SmallVec<[Name; 4]> = SmallVec::new();
    let mut sends = 0;
    let mut failure: Option<PlainAnswer> = None;
    let mut refusal = Refusal::NoEndpoint;
    loop {
        let now = node.now();
        if now >= call.end {
            return failure.ok_or(Refusal::TimedOut);
        }
        let Some(endpoint) = choose(node, call, now, &tried) else {
            return failure.ok_or(refusal);
        };
        if sends > 0
            && !node
                .state
                .borrow_mut()
                .take_retry(now, &call.service, &node.settings)
        {
            return failure.ok_or(refusal);
        }
        let last = sends + 1 >= call.route.max_attempts || !call.route.is_idempotent();
        let end = match last {
            true => call.end,
            false => call
                .end
                .min(now + call.route.objective.mul_f64(SILENT_PART)),
        };
        tried.push(endpoint.id.clone());
        let (cause, ran) = match once(node, call, endpoint, end).await {
            Ok(answer) if !answer.parts.status.is_server_error() => return Ok(answer),
            Ok(answer) => {
                failure = Some(answer);
                (RetryCause::Failed, true)
            }
            Err(Failed::TimedOut) if node.now() >= call.end => {
                return failure.ok_or(Refusal::TimedOut);
            }
            Err(Failed::TimedOut) => (RetryCause::Silent, true),
            Err(Failed::MayHaveRun(cause)) => (cause, true),
            Err(Failed::NotRun(cause)) => (cause, false),
        };
        if cause != RetryCause::Unsent {
            sends += 1;
        }
        if ran {
            refusal = Refusal::AnswerLost;
        } else if refusal == Refusal::NoEndpoint {
            refusal = Refusal::EndpointRefused;
        }
        let may_repeat = !ran || call.route.is_idempotent();
        if !may_repeat || sends >= call.route.max_attempts {
            return failure.ok_or(refusal);
        }
        node.metrics.on_retry(cause);
    }
}

fn choose(node: &Node, call: &Call, now: Time, tried: &[Name]) -> Option<Endpoint> {
    let mut state = node.state.borrow_mut();
    match state.place_plain(now, &node.settings.data_centre, &call.service, tried) {
        PlainChoice::Endpoint(id) => state.roster.get(&id).cloned(),
        PlainChoice::Unavailable => None,
    }
}

async fn once(
    node: &Rc<Node>,
    call: &Call,
    endpoint: Endpoint,
    end: Time,
) -> Result<PlainAnswer, Failed> {
    let flight = Flight::start(node, endpoint, 0);
    let endpoint = &flight.endpoint;
    let answered = exchange(node, call, endpoint);
    let limit = node.clock.instant(end);
    let answer = tokio::time::timeout_at(limit, answered).await;
    match answer {
        Err(_) => {
            node.suspect(&endpoint.id, endpoint.born, "no answer in time");
            Err(Failed::TimedOut)
        }
        Ok(Ok(answer)) => {
            node.on_life(&endpoint.id, endpoint.born);
            Ok(answer)
        }
        Ok(Err(failed)) => Err(failed),
    }
}

async fn exchange(node: &Node, call: &Call, endpoint: &Endpoint) -> Result<PlainAnswer, Failed> {
    let patience = Patience::UntilEnd;
    let opened = attempt::send(node, call, endpoint, call.end, patience, None).await?;
    let (parts, body) = opened.answer.into_parts();
    let body = collect(body, ANSWER_BYTES).await;
    let body = body.map_err(|_| Failed::MayHaveRun(RetryCause::Broken))?;
    node.links.put(node.now(), endpoint, opened.link);
    Ok(PlainAnswer {
        parts,
        body,
        endpoint: endpoint.id.clone(),
    })
}
