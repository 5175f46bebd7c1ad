//! Calls to plain services. Idempotent calls may be retried; other calls run at most
//! once, under a ticket or an idempotency key.

use std::sync::Arc;
use std::time::Duration;

use bulrushhoist_core::{
    Answer, Claim, ClaimStatus, NewRequest, ObjectKey, Reason, Refusal, RequestDigest, RequestId,
    Ticket, TicketDecision, TicketOutcome, WorkloadKind, WorkloadName, check_claim, claim_key,
};
use bulrushhoist_engine::{CallRequest, CallState, EndpointError};
use bulrushhoist_store::{PlatformError, StoreError};
use salvo::http::StatusCode;
use salvo::http::header::{CONTENT_TYPE, HeaderValue};
use salvo::prelude::{Depot, FlowCtrl, Handler, Request, Response};
use smallvec::SmallVec;

use super::filters::{Caller, body, caller};
use super::fingerprint;
use super::forward::{FORWARDED_HEADER, ForwardedRequest, forward_to_owner};
use super::refusals::{
    IDEMPOTENCY_KEY_HEADER, TICKET_HEADER, early_refusal, refuse, set_request_id,
};
use super::run::{Attempt, Attempts};
use crate::metrics::PlatformCall;
use crate::node::Node;
use crate::tickets::Admission;

/// Interval at which the endpoint is asked for the state of a call whose answer was
/// lost.
const STATE_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Number of state queries that fail, or find the call unseen, after which its outcome
/// counts as lost.
const MAX_STATE_FAILURES: u32 = 3;

/// Handles calls to plain services.
pub(super) struct Services {
    node: Arc<Node>,
}

/// A call whose service and route have been resolved.
#[derive(Clone)]
struct ServiceCall {
    request: NewRequest,
    call: CallRequest,
    idempotent: bool,
    accepted_at: bulrushhoist_core::Time,
}

/// What makes repeats of a non-idempotent call recognisable, so that it runs at most
/// once.
enum IdempotencyToken {
    Ticket(Ticket),
    Key(String),
}

impl Services {
    pub(super) fn new(node: &Arc<Node>) -> Self {
        Self {
            node: Arc::clone(node),
        }
    }

    /// Resolves the service and route of a request.
    fn prepare(
        &self,
        req: &mut Request,
        caller: &Caller,
        body: bytes::Bytes,
    ) -> Result<ServiceCall, Reason> {
        let service: String = req.param("service").unwrap_or_default();
        let rest: String = req.param("path").unwrap_or_default();
        let path = format!("/{rest}");
        let method = req.method().as_str().to_owned();
        let view = self.node.view();
        let workload = view.deployment.workload(&service);
        let workload = workload.filter(|w| w.kind == WorkloadKind::Service);
        let workload = workload.ok_or(Reason::UnknownWorkload)?;
        let route = workload.route(&method, &path).ok_or(Reason::UnknownRoute)?;
        let query = req
            .uri()
            .query()
            .map(|q| format!("?{q}"))
            .unwrap_or_default();
        let id = RequestId::from(rand::random::<u128>());
        let now = self.node.now();
        let content_type = req
            .headers()
            .get(CONTENT_TYPE)
            .and_then(|v| v.to_str().ok());
        let call = CallRequest {
            id,
            method,
            path: format!("{path}{query}"),
            content_type: content_type.map(str::to_owned),
            timeout: workload.answer_timeout,
            body,
        };
        let request = NewRequest {
            id,
            team: caller.team.clone(),
            workload: workload.name.clone(),
            prefix: rand::random(),
            fingerprint: fingerprint(&service, &call.path, &call.body),
            deadline: now + workload.first_token,
            avoid: SmallVec::new(),
            forwardable: false,
        };
        Ok(ServiceCall {
            request,
            call,
            idempotent: route.idempotent,
            accepted_at: now,
        })
    }
}

#[salvo::async_trait]
impl Handler for Services {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let Some(caller) = caller(depot) else { return };
        let mut call = match self.prepare(req, &caller, body(depot)) {
            Ok(call) => call,
            Err(reason) => return refuse(&self.node, res, None, early_refusal(req, reason)),
        };
        let result = if call.idempotent {
            self.node.trace(
                call.request.id,
                format!("service call from team {}", caller.team),
            );
            run_idempotent(&self.node, call.clone()).await
        } else {
            match idempotency_token(req) {
                Ok(IdempotencyToken::Ticket(ticket)) => {
                    call.request.id = ticket.request_id();
                    self.run_ticket(req, &ticket, call.clone()).await
                }
                Ok(IdempotencyToken::Key(key)) => self.run_key(req, &key, &mut call).await,
                Err(refusal) => Err(refusal),
            }
        };
        match result {
            Ok(answer) => render(res, call.request.id, answer),
            Err(refusal) => refuse(&self.node, res, Some(call.request.id), refusal),
        }
    }
}

/// Returns the ticket or key of a request; it is refused if it has neither.
fn idempotency_token(req: &Request) -> Result<IdempotencyToken, Refusal> {
    if let Some(ticket) = req.headers().get(TICKET_HEADER) {
        let text = ticket.to_str().unwrap_or_default();
        let ticket = text
            .parse()
            .map_err(|_| Refusal::unknown(Reason::BadTicket))?;
        return Ok(IdempotencyToken::Ticket(ticket));
    }
    let key = req
        .headers()
        .get(IDEMPOTENCY_KEY_HEADER)
        .and_then(|v| v.to_str().ok());
    let key = key.ok_or(Refusal::not_run(Reason::TicketRequired))?;
    Ok(IdempotencyToken::Key(key.to_owned()))
}

fn render(res: &mut Response, id: RequestId, answer: Answer) {
    set_request_id(res, id);
    res.status_code(StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK));
    let content_type = answer
        .content_type
        .and_then(|c| HeaderValue::from_str(&c).ok());
    if let Some(content_type) = content_type {
        res.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    res.body(answer.body);
}

/// Runs an idempotent call, retrying failed attempts at other replicas.
async fn run_idempotent(node: &Arc<Node>, call: ServiceCall) -> Result<Answer, Refusal> {
    let mut attempts = Attempts::new(call.request);
    loop {
        let attempt = attempts.next(node).await?;
        if !attempt.may_send() {
            return Err(attempts.refusal(Reason::Stale));
        }
        match node
            .endpoints
            .call(attempt.choice.address, call.call.clone())
            .await
        {
            Ok(answer) => {
                complete_attempt(node, attempt, call.accepted_at);
                return Ok(answer);
            }
            Err(error) => attempts.on_failure(node, attempt, &error).await?,
        }
    }
}

/// Ends an attempt with a complete answer and counts the answer in the metrics.
fn complete_attempt(node: &Node, attempt: Attempt, accepted_at: bulrushhoist_core::Time) {
    let took = node.now().since(accepted_at);
    attempt.complete();
    node.metrics.on_answer("call", took.as_secs_f64());
}

impl Services {
    /// Runs a call under a ticket, here if this daemon owns the ticket, or else at the
    /// owner.
    ///
    /// The owner runs the ticket's request at most once and answers repeats with the
    /// stored outcome.
    async fn run_ticket(
        &self,
        req: &Request,
        ticket: &Ticket,
        call: ServiceCall,
    ) -> Result<Answer, Refusal> {
        if ticket.incarnation != self.node.incarnation {
            return self.forward(req, ticket, call).await;
        }
        let digest = digest(&call);
        let decision = match self.node.tickets.present(ticket, digest).await {
            Admission::Outcome(decision) => decision,
            Admission::Run => {
                self.node.trace(
                    call.request.id,
                    format!("ticket {} dispatched", ticket.sequence),
                );
                let (node, sequence) = (Arc::clone(&self.node), ticket.sequence);
                // The call runs in its own task, so that it completes even if the
                // caller disconnects; a repeat then gets the stored outcome.
                tokio::spawn(async move {
                    let outcome = run_once(&node, call).await;
                    node.tickets.finish(sequence, outcome);
                });
                let outcome = self.node.tickets.outcome(ticket.sequence).await;
                match outcome {
                    Some(decision) => decision,
                    None => match self.node.tickets.present(ticket, digest).await {
                        Admission::Outcome(decision) => decision,
                        Admission::Run => unreachable!("a dispatched ticket runs once"),
                    },
                }
            }
        };
        match decision {
            TicketDecision::Replay(answer) => Ok(answer),
            TicketDecision::Refused(refusal) => Err(refusal),
            TicketDecision::Run | TicketDecision::Wait => {
                Err(Refusal::unknown(Reason::EndpointFailed))
            }
        }
    }

    /// Forwards a call to the ticket's owner, unless it was forwarded already.
    async fn forward(
        &self,
        req: &Request,
        ticket: &Ticket,
        call: ServiceCall,
    ) -> Result<Answer, Refusal> {
        if req.headers().contains_key(FORWARDED_HEADER) {
            return Err(Refusal::unknown(Reason::OwnerUnreachable));
        }
        let path = req.uri().path_and_query().map_or("/", |p| p.as_str());
        let request = ForwardedRequest {
            method: req.method().as_str(),
            path,
            headers: req.headers(),
            body: call.call.body,
        };
        forward_to_owner(&self.node, ticket, request).await
    }

    /// Binds an idempotency key to a ticket, then runs the call under that ticket.
    async fn run_key(
        &self,
        req: &Request,
        key: &str,
        call: &mut ServiceCall,
    ) -> Result<Answer, Refusal> {
        let claim = self.claim(key, &call.request, digest(call)).await?;
        let status = check_claim(&claim, self.node.incarnation, digest(call));
        call.request.id = claim.ticket.request_id();
        match status {
            ClaimStatus::DigestMismatch => Err(Refusal::unknown(Reason::TicketReused)),
            ClaimStatus::OwnedHere => self.run_ticket(req, &claim.ticket, call.clone()).await,
            ClaimStatus::OwnedElsewhere => self.forward(req, &claim.ticket, call.clone()).await,
        }
    }

    /// Returns the claim of a key, creating it if there is none.
    ///
    /// The claim is a stored object, so that all entries agree on the ticket of a
    /// key. If it can be neither created nor read, the refusal's execution is unknown,
    /// because an earlier call with the key may have run.
    async fn claim(
        &self,
        key: &str,
        request: &NewRequest,
        digest: RequestDigest,
    ) -> Result<Claim, Refusal> {
        let failed = Refusal::unknown(Reason::ClaimFailed);
        if self.node.is_refusing() {
            return Err(Refusal::unknown(Reason::Draining));
        }
        let object = ObjectKey::claim(&claim_key(&request.team, &request.workload, key));
        let ticket = self.node.tickets.issue(1).pop().ok_or(failed)?;
        let claim = Claim { ticket, digest };
        self.node.metrics.on_platform_call(PlatformCall::Write);
        match self.node.store.replace(&object, None, claim).await {
            Ok(stored) => Ok(stored.envelope.body),
            Err(StoreError::Platform(PlatformError::Conflict)) => {
                self.node.metrics.on_platform_call(PlatformCall::Read);
                let read = self.node.store.read::<Claim>(&object).await;
                Ok(read.ok().flatten().ok_or(failed)?.envelope.body)
            }
            Err(_) => Err(failed),
        }
    }
}

/// Computes the digest by which a repeat of a call is told from another call with the
/// same ticket or key.
fn digest(call: &ServiceCall) -> RequestDigest {
    let workload: &WorkloadName = &call.request.workload;
    let path = format!("{workload}{}", call.call.path);
    RequestDigest::of_request(&call.call.method, &path, &call.call.body)
}

/// Runs a call that must run at most once.
///
/// It is retried at another replica only after failures in which no endpoint can
/// have run it: a failed connect or a refusal. After any other failure it asks the
/// endpoint for the outcome.
async fn run_once(node: &Arc<Node>, call: ServiceCall) -> TicketOutcome {
    let ServiceCall {
        request,
        mut call,
        accepted_at,
        ..
    } = call;
    call.id = request.id;
    let mut attempts = Attempts::new(request);
    loop {
        let attempt = match attempts.next(node).await {
            Ok(attempt) => attempt,
            Err(refusal) => return TicketOutcome::NotRun(refusal.reason),
        };
        if !attempt.may_send() {
            return TicketOutcome::NotRun(Reason::Stale);
        }
        let endpoint = attempt.choice.address;
        match node.endpoints.call(endpoint, call.clone()).await {
            Ok(answer) => {
                complete_attempt(node, attempt, accepted_at);
                return TicketOutcome::Answered(answer);
            }
            Err(error @ (EndpointError::Connect { .. } | EndpointError::Refused)) => {
                if let Err(refusal) = attempts.on_failure(node, attempt, &error).await {
                    return TicketOutcome::NotRun(refusal.reason);
                }
            }
            Err(error) => {
                node.trace(call.id, format!("{}: {error}", attempt.choice.leader));
                let outcome =
                    poll_outcome(node, endpoint, call.id, accepted_at + call.timeout).await;
                match outcome {
                    Some(answer) => {
                        complete_attempt(node, attempt, accepted_at);
                        return TicketOutcome::Answered(answer);
                    }
                    None => {
                        attempt.fail(&error).await;
                        return TicketOutcome::Lost;
                    }
                }
            }
        }
    }
}

/// Polls the endpoint for the outcome of a call whose answer was lost.
///
/// Returns `None` if the deadline passes or after [`MAX_STATE_FAILURES`] queries that
/// fail or find the call unseen.
async fn poll_outcome(
    node: &Node,
    endpoint: std::net::SocketAddr,
    id: RequestId,
    deadline: bulrushhoist_core::Time,
) -> Option<Answer> {
    let mut failures = 0;
    while node.now() < deadline && failures < MAX_STATE_FAILURES {
        match node.endpoints.call_state(endpoint, id).await {
            Ok(CallState::Done(answer)) => return Some(answer),
            Ok(CallState::Running) => {}
            // An unseen call may still be in transit to the endpoint.
            Ok(CallState::Unseen) | Err(_) => failures += 1,
        }
        tokio::time::sleep(STATE_POLL_INTERVAL).await;
    }
    None
}
