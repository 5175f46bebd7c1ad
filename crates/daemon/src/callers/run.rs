//! Runs a request: acquires replicas, retries failed attempts and resumes streams.

use std::sync::Arc;
use std::time::Duration;

use bulrushhoist_core::{
    Choice, Execution, Fingerprint, NewRequest, Outcome, Reason, Refusal, RequestId, RetryReason,
    Time, stable_hash,
};
use bulrushhoist_engine::{AnswerStream, CompletionRequest, EndpointError, StreamEvent};
use bytes::Bytes;
use futures_util::StreamExt as _;

use crate::controllers::{Permission, Probation, gossip_with_all};
use crate::node::Node;

/// Maximum number of times that one completion, over all its attempts, tries to
/// resume a failed stream at the same endpoint.
const MAX_RESUMES: u32 = 2;
/// Maximum number of replicas that one request is tried at.
const MAX_ATTEMPTS: usize = 3;
/// Number of parts of an answer over which one sample of the time between tokens
/// is averaged.
const PARTS_PER_GAP_SAMPLE: u32 = 8;

/// An attempt to run a request at one replica; dropping it frees the replica's slot.
pub(super) struct Attempt {
    node: Arc<Node>,
    id: RequestId,
    fingerprint: Fingerprint,
    pub(super) choice: Choice,
    probation: Option<Probation>,
    started_at: Time,
    ended: bool,
}

impl Attempt {
    /// Waits for a slot at a replica.
    ///
    /// A request that is suspected of crashing endpoints also needs a permission
    /// from the owner of its fingerprint.
    pub(super) async fn acquire(node: &Arc<Node>, request: &NewRequest) -> Result<Self, Refusal> {
        let probation = match Probation::request(node, request.fingerprint).await {
            Permission::NotNeeded => None,
            Permission::Granted(probation) => Some(probation),
            Permission::Refused => return Err(Refusal::not_run(Reason::Quarantined)),
        };
        let choice = node.acquire_replica(request.clone()).await?;
        node.trace(
            request.id,
            format!(
                "assigned to replica {} at {}",
                choice.replica, choice.leader
            ),
        );
        let (id, fingerprint) = (request.id, request.fingerprint);
        let node = Arc::clone(node);
        let started_at = node.now();
        Ok(Self {
            node,
            id,
            fingerprint,
            choice,
            probation,
            started_at,
            ended: false,
        })
    }

    /// Returns whether the request may still be sent.
    ///
    /// It is checked immediately before sending, because the process may have been
    /// paused until its evidence for the replica, or its proof of a current
    /// configuration, expired.
    pub(super) fn may_send(&self) -> bool {
        self.node
            .core()
            .dispatcher
            .may_send(self.node.now(), self.id)
    }

    /// Reports the replica's time to the first token to the dispatcher.
    ///
    /// It counts from the start of the attempt, so it leaves out the time that the
    /// request waited for a slot.
    pub(super) fn report_first_token(&self) {
        let now = self.node.now();
        let took = now.since(self.started_at);
        self.node
            .core()
            .dispatcher
            .on_first_token(now, self.id, took);
    }

    /// Reports the replica's time between two tokens to the dispatcher.
    fn report_token_gap(&self, gap: Duration) {
        let now = self.node.now();
        self.node.core().dispatcher.on_token_gap(now, self.id, gap);
    }

    /// Ends the attempt with a complete answer.
    pub(super) fn complete(self) {
        let took = self.node.now().since(self.started_at);
        self.end(Outcome::Answered(took));
    }

    /// Ends the attempt and frees the replica's slot.
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

    /// Ends the attempt with a failure.
    ///
    /// Unless the endpoint refused, its group is not used again until newer reports
    /// arrive. A loss that may be the request's fault is announced to the other
    /// daemons as a strike.
    pub(super) async fn fail(mut self, error: &EndpointError) {
        self.node
            .trace(self.id, format!("{}: {error}", self.choice.leader));
        let outcome = match error {
            EndpointError::Connect { .. } => Outcome::ConnectFailed,
            EndpointError::Refused => Outcome::Refused,
            EndpointError::Lost { .. }
            | EndpointError::BadAnswer { .. }
            | EndpointError::NotFound => Outcome::Lost(self.incident_id()),
        };
        self.finish(outcome);
        if !matches!(error, EndpointError::Refused) {
            self.node.invalidate_evidence(&self.choice.leader);
        }
        if matches!(outcome, Outcome::Lost(Some(_))) {
            gossip_with_all(&self.node).await;
        }
    }

    /// Returns the id of the incident if this request may have crashed the endpoint.
    ///
    /// The id is a hash of the endpoint's VM and epoch, so that each run of an
    /// endpoint counts once. A loss that coincides with that of a replica which did not
    /// run this request has another cause and yields `None`.
    fn incident_id(&self) -> Option<u64> {
        let (now, replica) = (self.node.now(), &self.choice.replica);
        if self
            .node
            .recent_losses
            .record_and_correlate(now, replica, self.fingerprint)
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

/// Returns the reason under which the retry after an error is counted.
pub(super) fn retry_reason(error: &EndpointError) -> RetryReason {
    match error {
        EndpointError::Connect { .. } => RetryReason::ConnectFailed,
        EndpointError::Refused => RetryReason::EndpointRefused,
        EndpointError::Lost { .. } | EndpointError::NotFound => RetryReason::EndpointLost,
        EndpointError::BadAnswer { .. } => RetryReason::BadAnswer,
    }
}

/// The attempts of one request and what is known of its execution over all of them.
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

    /// Starts the next attempt: waits for a slot at a replica.
    pub(super) async fn next(&mut self, node: &Arc<Node>) -> Result<Attempt, Refusal> {
        let attempt = Attempt::acquire(node, &self.request).await;
        let attempt = attempt.map_err(|refusal| self.refusal(refusal.reason))?;
        self.count += 1;
        Ok(attempt)
    }

    /// Ends a failed attempt; returns `Ok` if the request may be retried.
    ///
    /// The failed replica is avoided from then on. A retry must be within
    /// [`MAX_ATTEMPTS`] and the team's retry budget.
    pub(super) async fn on_failure(
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
            self.count < MAX_ATTEMPTS && node.core().dispatcher.try_retry(&self.request.team);
        if !within_budget {
            return Err(self.refusal(Reason::RetriesExhausted));
        }
        node.metrics.on_retry(retry_reason(error));
        Ok(())
    }

    /// Builds a refusal with what is known of the request's execution.
    pub(super) fn refusal(&self, reason: Reason) -> Refusal {
        Refusal {
            reason,
            execution: self.execution,
        }
    }
}

/// An unfinished sample of the time between tokens.
#[derive(Clone, Copy)]
struct GapSample {
    /// Time of the part that the sample starts with.
    start: Time,
    /// Number of parts received after it.
    parts: u32,
}

/// A running completion, over all its attempts.
///
/// It presents one gapless sequence of events: after a failure it resumes at the
/// same endpoint or starts at another one, which skips the events already sent.
pub(super) struct CompletionRun {
    node: Arc<Node>,
    body: Bytes,
    accepted_at: Time,
    /// Time from the acceptance to the first part of the answer.
    first_token: Option<Duration>,
    attempts: Attempts,
    /// The current attempt and its stream, if one is running.
    current: Option<(Attempt, AnswerStream)>,
    gap_sample: Option<GapSample>,
    /// Offset of the next part to send to the caller.
    next_part: u64,
    /// Number of times that resuming a stream was tried.
    resumes: u32,
    ended: bool,
}

impl CompletionRun {
    pub(super) fn new(
        node: &Arc<Node>,
        request: NewRequest,
        body: Bytes,
        accepted_at: Time,
    ) -> Self {
        Self {
            node: Arc::clone(node),
            body,
            accepted_at,
            first_token: None,
            attempts: Attempts::new(request),
            current: None,
            gap_sample: None,
            next_part: 0,
            resumes: 0,
            ended: false,
        }
    }

    /// Returns the completion's request.
    pub(super) const fn request(&self) -> &NewRequest {
        &self.attempts.request
    }

    /// Returns the endpoint that produces the current stream.
    pub(super) fn endpoint(&self) -> Option<std::net::SocketAddr> {
        self.current
            .as_ref()
            .map(|(attempt, _)| attempt.choice.address)
    }

    /// Returns the next event, retrying and resuming as needed.
    pub(super) async fn next_event(&mut self) -> Result<StreamEvent, Refusal> {
        loop {
            let Some((_, stream)) = self.current.as_mut() else {
                self.start_attempt().await?;
                continue;
            };
            match stream.next().await {
                Some(Ok(event)) => return Ok(self.on_event(event)),
                Some(Err(error)) => self.recover(error).await?,
                None => {
                    let cause = "the stream ended early".into();
                    self.recover(EndpointError::Lost { cause }).await?;
                }
            }
        }
    }

    /// Records the progress of the answer and reports its latencies.
    fn on_event(&mut self, event: StreamEvent) -> StreamEvent {
        let now = self.node.now();
        match event {
            StreamEvent::Part { offset, .. } => {
                self.next_part = offset + 1;
                if self.first_token.is_none() {
                    let took = now.since(self.accepted_at);
                    self.first_token = Some(took);
                    if let Some((attempt, _)) = &self.current {
                        attempt.report_first_token();
                    }
                }
                self.measure_gap(now);
            }
            StreamEvent::End { .. } => {
                self.ended = true;
                let took = self.first_token.unwrap_or_default();
                if let Some((attempt, _)) = self.current.take() {
                    attempt.complete();
                }
                self.node
                    .metrics
                    .on_answer("completion", took.as_secs_f64());
            }
        }
        event
    }

    /// Reports the average time between tokens once per [`PARTS_PER_GAP_SAMPLE`] parts.
    fn measure_gap(&mut self, now: Time) {
        let Some(sample) = &mut self.gap_sample else {
            self.gap_sample = Some(GapSample {
                start: now,
                parts: 0,
            });
            return;
        };
        sample.parts += 1;
        if sample.parts < PARTS_PER_GAP_SAMPLE {
            return;
        }
        let gap = now.since(sample.start) / PARTS_PER_GAP_SAMPLE;
        self.gap_sample = Some(GapSample {
            start: now,
            parts: 0,
        });
        if let Some((attempt, _)) = &self.current {
            attempt.report_token_gap(gap);
        }
    }

    /// Starts the stream at a replica, skipping the events that were already sent.
    async fn start_attempt(&mut self) -> Result<(), Refusal> {
        self.gap_sample = None;
        let attempt = self.attempts.next(&self.node).await?;
        if !attempt.may_send() {
            return Err(self.attempts.refusal(Reason::Stale));
        }
        let id = self.attempts.request.id;
        let request = CompletionRequest {
            id,
            body: self.body.clone(),
            skip_events: self.next_part,
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
            Err(error) => self.attempts.on_failure(&self.node, attempt, &error).await,
        }
    }

    /// Recovers from a failed stream: resumes it at the same endpoint, or ends the
    /// attempt so that the next one uses another replica.
    async fn recover(&mut self, error: EndpointError) -> Result<(), Refusal> {
        let Some((attempt, _)) = self.current.take() else {
            return Ok(());
        };
        self.gap_sample = None;
        let id = self.attempts.request.id;
        if self.resumes < MAX_RESUMES {
            self.resumes += 1;
            let endpoint = attempt.choice.address;
            let resumed = self
                .node
                .endpoints
                .resume(endpoint, id, self.next_part)
                .await;
            if let Ok(stream) = resumed {
                self.node.metrics.on_retry(RetryReason::StreamResumed);
                self.node.trace(
                    id,
                    format!("stream resumed at part {}: {error}", self.next_part),
                );
                self.current = Some((attempt, stream));
                return Ok(());
            }
        }
        self.attempts.on_failure(&self.node, attempt, &error).await
    }
}

impl Drop for CompletionRun {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        // The caller disconnected; cancelling frees the replica's compute.
        if let Some((attempt, _)) = self.current.take() {
            let node = Arc::clone(&self.node);
            let (endpoint, id) = (attempt.choice.address, self.attempts.request.id);
            tokio::spawn(async move { node.endpoints.cancel(endpoint, id).await });
        }
    }
}
