//! Running an idempotent request: replica, endpoint, retries and resumption.

use std::sync::Arc;
use std::time::Duration;

use bulrushhoist_core::{
    Choice, Execution, Fingerprint, NewRequest, Outcome, Reason, Refusal, RequestId, RetryReason,
    Time, stable_hash,
};
use bulrushhoist_engine::{AnswerStream, CompletionRequest, EndpointError, StreamEvent};
use bytes::Bytes;
use futures_util::StreamExt as _;

use crate::controllers::{Leave, Probation, announce_strikes};
use crate::node::Node;

/// Times that one stream is resumed at the same endpoint.
const RESUMES: u32 = 2;
/// Replicas that one request is tried at.
const ATTEMPTS: usize = 3;
/// Parts of an answer over which the time between tokens is measured.
const GAP_PARTS: u32 = 8;

/// An attempt at one replica; dropping it frees the replica's place.
pub(super) struct Attempt {
    node: Arc<Node>,
    id: RequestId,
    fingerprint: Fingerprint,
    pub(super) choice: Choice,
    probation: Option<Probation>,
    started: Time,
    ended: bool,
}

impl Attempt {
    /// Waits for a replica.
    pub(super) async fn acquire(node: &Arc<Node>, request: &NewRequest) -> Result<Self, Refusal> {
        let probation = match Probation::ask(node, request.fingerprint).await {
            Leave::NotNeeded => None,
            Leave::Granted(probation) => Some(probation),
            Leave::Refused => return Err(Refusal::not_run(Reason::Quarantined)),
        };
        let choice = node.acquire(request.clone()).await?;
        node.note(
            request.id,
            format!("replica {} at {}", choice.replica, choice.leader),
        );
        let (id, fingerprint) = (request.id, request.fingerprint);
        let node = Arc::clone(node);
        let started = node.now();
        Ok(Self {
            node,
            id,
            fingerprint,
            choice,
            probation,
            started,
            ended: false,
        })
    }

    /// Checks at the last moment before bytes leave that the daemon was not
    /// paused past its evidence or its proof of a current configuration.
    pub(super) fn may_send(&self) -> bool {
        self.node
            .core()
            .dispatcher
            .may_send(self.node.now(), self.id)
    }

    /// Reports the replica's time to the first token, without the time that the
    /// request waited for the replica.
    pub(super) fn note_first_token(&self) {
        let now = self.node.now();
        let took = now.since(self.started);
        self.node
            .core()
            .dispatcher
            .on_first_token(now, self.id, took);
    }

    /// Reports the replica's time between two tokens.
    fn note_token_gap(&self, gap: Duration) {
        let now = self.node.now();
        self.node.core().dispatcher.on_token_gap(now, self.id, gap);
    }

    /// Reports a whole answer.
    pub(super) fn answered(self) {
        let took = self.node.now().since(self.started);
        self.end(Outcome::Answered(took));
    }

    /// Reports the end of the attempt.
    fn end(mut self, outcome: Outcome) {
        self.finish(outcome);
    }

    fn finish(&mut self, outcome: Outcome) {
        if self.ended {
            return;
        }
        self.ended = true;
        if let Some(probation) = &mut self.probation
            && matches!(outcome, Outcome::Answered(_))
        {
            probation.set_answered();
        }
        self.node.finish(self.id, outcome);
    }

    /// Reports the failure of the attempt, and the endpoint's with it.
    pub(super) async fn fail(mut self, error: &EndpointError) {
        self.node
            .note(self.id, format!("{}: {error}", self.choice.leader));
        let outcome = match error {
            EndpointError::Connect { .. } => Outcome::ConnectFailed,
            EndpointError::Refused => Outcome::Refused,
            EndpointError::Lost { .. }
            | EndpointError::BadAnswer { .. }
            | EndpointError::NotFound => Outcome::Lost(self.incident()),
        };
        self.finish(outcome);
        if !matches!(error, EndpointError::Refused) {
            self.node.distrust(&self.choice.leader);
        }
        if matches!(outcome, Outcome::Lost(Some(_))) {
            announce_strikes(&self.node).await;
        }
    }

    /// Names the endpoint's run that may have ended by this request. A loss
    /// that comes together with others has another cause.
    fn incident(&self) -> Option<u64> {
        let (now, replica) = (self.node.now(), &self.choice.replica);
        if self
            .node
            .losses
            .is_one_of_many(now, replica, self.fingerprint)
        {
            return None;
        }
        let core = self.node.core();
        let epoch = core
            .evidence
            .latest(&self.choice.leader)
            .map_or(0, |(_, s)| s.epoch);
        Some(stable_hash([
            self.choice.leader.as_str().as_bytes(),
            &epoch.to_be_bytes()[..],
        ]))
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.finish(Outcome::Cancelled);
    }
}

/// Returns why a failed attempt may be repeated.
pub(super) fn retry_reason(error: &EndpointError) -> RetryReason {
    match error {
        EndpointError::Connect { .. } => RetryReason::ConnectFailed,
        EndpointError::Refused => RetryReason::EndpointRefused,
        EndpointError::Lost { .. } | EndpointError::NotFound => RetryReason::EndpointLost,
        EndpointError::BadAnswer { .. } => RetryReason::BadAnswer,
    }
}

/// What is known of a request's execution, over all its attempts.
pub(super) struct Attempts {
    pub(super) request: NewRequest,
    execution: Execution,
    count: usize,
}

impl Attempts {
    pub(super) fn new(request: NewRequest) -> Self {
        Self {
            request,
            execution: Execution::NotRun,
            count: 0,
        }
    }

    /// Takes the next attempt's place at a replica.
    pub(super) async fn next(&mut self, node: &Arc<Node>) -> Result<Attempt, Refusal> {
        let attempt = Attempt::acquire(node, &self.request).await;
        let attempt = attempt.map_err(|refusal| self.refusal(refusal.reason))?;
        self.count += 1;
        Ok(attempt)
    }

    /// Ends a failed attempt; an error is final.
    pub(super) async fn failed(
        &mut self,
        node: &Arc<Node>,
        attempt: Attempt,
        error: &EndpointError,
    ) -> Result<(), Refusal> {
        if !matches!(
            error,
            EndpointError::Connect { .. } | EndpointError::Refused
        ) {
            self.execution = Execution::Unknown;
        }
        self.request.avoid.push(attempt.choice.replica.clone());
        attempt.fail(error).await;
        let within_budget =
            self.count < ATTEMPTS && node.core().dispatcher.try_retry(&self.request.team);
        if !within_budget {
            return Err(self.refusal(Reason::RetriesExhausted));
        }
        node.metrics.on_retry(retry_reason(error));
        Ok(())
    }

    pub(super) fn refusal(&self, reason: Reason) -> Refusal {
        Refusal {
            reason,
            execution: self.execution,
        }
    }
}

/// Where a measurement of the time between tokens began.
#[derive(Clone, Copy)]
struct GapStart {
    at: Time,
    parts: u32,
}

/// A completion on its way to the caller.
pub(super) struct CompletionRun {
    node: Arc<Node>,
    body: Bytes,
    accepted: Time,
    first_token: Option<Duration>,
    attempts: Attempts,
    current: Option<(Attempt, AnswerStream)>,
    gap_start: Option<GapStart>,
    next: u64,
    resumes: u32,
    ended: bool,
}

impl CompletionRun {
    pub(super) fn new(node: &Arc<Node>, request: NewRequest, body: Bytes, accepted: Time) -> Self {
        Self {
            node: Arc::clone(node),
            body,
            accepted,
            first_token: None,
            attempts: Attempts::new(request),
            current: None,
            gap_start: None,
            next: 0,
            resumes: 0,
            ended: false,
        }
    }

    /// Returns the request that runs.
    pub(super) const fn request(&self) -> &NewRequest {
        &self.attempts.request
    }

    /// Returns the endpoint that has the stream.
    pub(super) fn endpoint(&self) -> Option<std::net::SocketAddr> {
        self.current
            .as_ref()
            .map(|(attempt, _)| attempt.choice.address)
    }

    /// Returns the next event, whatever endpoint it takes.
    pub(super) async fn next_event(&mut self) -> Result<StreamEvent, Refusal> {
        loop {
            let Some((_, stream)) = self.current.as_mut() else {
                self.start().await?;
                continue;
            };
            match stream.next().await {
                Some(Ok(event)) => return Ok(self.take(event)),
                Some(Err(error)) => self.repair(error).await?,
                None => {
                    let cause = "the stream ended early".into();
                    self.repair(EndpointError::Lost { cause }).await?;
                }
            }
        }
    }

    fn take(&mut self, event: StreamEvent) -> StreamEvent {
        let now = self.node.now();
        match event {
            StreamEvent::Part { offset, .. } => {
                self.next = offset + 1;
                if self.first_token.is_none() {
                    let took = now.since(self.accepted);
                    self.first_token = Some(took);
                    if let Some((attempt, _)) = &self.current {
                        attempt.note_first_token();
                    }
                }
                self.measure_gap(now);
            }
            StreamEvent::End { .. } => {
                self.ended = true;
                let took = self.first_token.unwrap_or_default();
                if let Some((attempt, _)) = self.current.take() {
                    attempt.answered();
                }
                self.node
                    .metrics
                    .on_answer("completion", took.as_secs_f64());
            }
        }
        event
    }

    /// Reports the time between tokens each time some more have come.
    fn measure_gap(&mut self, now: Time) {
        let Some(start) = &mut self.gap_start else {
            self.gap_start = Some(GapStart { at: now, parts: 0 });
            return;
        };
        start.parts += 1;
        if start.parts < GAP_PARTS {
            return;
        }
        let gap = now.since(start.at) / GAP_PARTS;
        self.gap_start = Some(GapStart { at: now, parts: 0 });
        if let Some((attempt, _)) = &self.current {
            attempt.note_token_gap(gap);
        }
    }

    async fn start(&mut self) -> Result<(), Refusal> {
        self.gap_start = None;
        let attempt = self.attempts.next(&self.node).await?;
        if !attempt.may_send() {
            return Err(self.attempts.refusal(Reason::Stale));
        }
        let id = self.attempts.request.id;
        let request = CompletionRequest {
            id,
            body: self.body.clone(),
            skip_events: self.next,
        };
        match self
            .node
            .endpoints
            .complete(attempt.choice.address, request)
            .await
        {
            Ok(stream) => {
                self.current = Some((attempt, stream));
                Ok(())
            }
            Err(error) => self.attempts.failed(&self.node, attempt, &error).await,
        }
    }

    /// Resumes at the same endpoint, or gives the endpoint up.
    async fn repair(&mut self, error: EndpointError) -> Result<(), Refusal> {
        let Some((attempt, _)) = self.current.take() else {
            return Ok(());
        };
        self.gap_start = None;
        let id = self.attempts.request.id;
        if self.resumes < RESUMES {
            self.resumes += 1;
            let endpoint = attempt.choice.address;
            let resumed = self.node.endpoints.resume(endpoint, id, self.next).await;
            if let Ok(stream) = resumed {
                self.node.metrics.on_retry(RetryReason::StreamResumed);
                self.node
                    .note(id, format!("resumed at part {}: {error}", self.next));
                self.current = Some((attempt, stream));
                return Ok(());
            }
        }
        self.attempts.failed(&self.node, attempt, &error).await
    }
}

impl Drop for CompletionRun {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        // The caller went away: no accelerator should work for nobody.
        if let Some((attempt, _)) = self.current.take() {
            let node = Arc::clone(&self.node);
            let (endpoint, id) = (attempt.choice.address, self.attempts.request.id);
            tokio::spawn(async move { node.endpoints.cancel(endpoint, id).await });
        }
    }
}
