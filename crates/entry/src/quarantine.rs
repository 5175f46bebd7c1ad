//! The entry's side of the quarantine: what it records, checks and logs.

use std::time::Duration;

use bulrushhoist_core::{Fingerprint, stable_hash};
use bulrushhoist_fleet::{
    CrashReport, Endpoint, EndpointPhase, GroupState, Health, Loss, Quarantined, SharedParts,
    Subject,
};
use hyper::StatusCode;
use hyper::header::HeaderValue;
use slog::{info, warn};

use crate::attempt::InFlight;
use crate::call::Call;
use crate::node::Node;
use crate::outcome::Refusal;

/// How far an endpoint has come with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerPhase {
    /// No event of its answer has arrived.
    Waiting,
    /// It is writing a stream.
    Begun,
}

impl Node {
    /// Records an attempt whose connection broke after the request was sent: its endpoint
    /// may have crashed under the request.
    pub(crate) fn record_broken(&self, call: &Call, in_flight: &InFlight) {
        in_flight.on_ended();
        let (endpoint, phase) = (&in_flight.endpoint, in_flight.phase());
        let now = self.now();
        let mut state = self.state.borrow_mut();
        // A leader that was told to leave its group also ends its streams, which is no sign
        // that the request crashed it.
        let record = state.roster.get(&endpoint.id);
        let membership = record.and_then(|e| e.membership.as_ref());
        let struck = membership.is_none_or(|m| m.state == GroupState::Open);
        if struck {
            let report = CrashReport {
                run: in_flight.run,
                request: call.fingerprint,
                parts: match phase {
                    AnswerPhase::Waiting => call.parts.clone(),
                    AnswerPhase::Begun => SharedParts::new(),
                },
                inferred: false,
            };
            state.quarantine.on_crash(now, report);
        }
        let strikes = state.quarantine.strikes(now, call.fingerprint);
        drop(state);
        self.metrics.on_broken_attempt(call.route.kind, struck);
        let parts: Vec<String> = call.parts.iter().map(ToString::to_string).collect();
        info!(self.log, "attempt broken"; "request" => call.id_text(), "fingerprint" => %call.fingerprint, "parts" => parts.join(","), "endpoint" => &*endpoint.id, "born" => endpoint.incarnation, "begun" => phase == AnswerPhase::Begun, "struck" => struck, "strikes" => strikes);
        self.report_verdicts();
    }

    /// Records that a run of an endpoint is lost: the requests that it had may have crashed it.
    /// One that was leaving has ended as planned.
    pub(crate) fn record_lost(&self, endpoint: &Endpoint, loss: Loss) {
        if endpoint.phase == EndpointPhase::Draining {
            return;
        }
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let struck = state.quarantine.on_lost(now, run_key(endpoint), loss);
        for fingerprint in struck {
            let strikes = state.quarantine.strikes(now, fingerprint);
            info!(self.log, "endpoint lost with a request"; "fingerprint" => %fingerprint, "endpoint" => &*endpoint.id, "born" => endpoint.incarnation, "loss" => %loss, "strikes" => strikes);
        }
        drop(state);
        self.report_verdicts();
    }

    /// Records that an endpoint's run is lost if the endpoint counts as dead.
    pub(crate) fn record_if_dead(&self, endpoint: &Endpoint) {
        let health = self.state.borrow().health(self.now(), endpoint);
        if health == Health::Dead {
            self.record_lost(endpoint, Loss::Ended);
        }
    }

    /// Records a complete answer to a request. Unless it is an error that may come from
    /// before the part that crashes endpoints, the strikes against the request are void.
    pub(crate) fn record_answered(
        &self,
        id: &HeaderValue,
        fingerprint: Fingerprint,
        status: StatusCode,
    ) {
        if !shows_sound(status) {
            return;
        }
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let strikes = state.quarantine.strikes(now, fingerprint);
        state.quarantine.on_answered(now, fingerprint);
        drop(state);
        if strikes > 0 {
            info!(self.log, "strikes void"; "request" => id.to_str().unwrap_or("?"), "fingerprint" => %fingerprint, "status" => status.as_u16(), "strikes" => strikes);
        }
        self.report_verdicts();
    }

    /// Returns why a call must not be sent to an endpoint, if endpoints have crashed under
    /// it or under a part of its prompt.
    pub(crate) fn quarantined(&self, call: &Call) -> Option<Quarantined> {
        let state = self.state.borrow();
        state
            .quarantine
            .check(self.now(), call.fingerprint, &call.parts)
    }

    /// Returns the refusal of a call that is quarantined and has not run.
    pub(crate) fn quarantine_refusal(&self, call: &Call) -> Option<Refusal> {
        let quarantined = self.quarantined(call)?;
        Some(match quarantined.subject {
            Subject::Request => Refusal::Quarantined,
            Subject::Part => Refusal::QuarantinedPart,
        })
    }

    /// Waits until a call is quarantined.
    pub(crate) async fn until_quarantined(&self, call: &Call) {
        loop {
            let changed = self.quarantine_changed.notified();
            if self.quarantined(call).is_some() {
                return;
            }
            changed.await;
        }
    }

    /// Logs and counts changes of what is refused, and tells the calls that wait.
    pub(crate) fn report_verdicts(&self) {
        let mut state = self.state.borrow_mut();
        let verdicts = state.quarantine.take_verdicts();
        if verdicts.is_empty() {
            return;
        }
        let (requests, parts) = state.quarantine.refused_count();
        drop(state);
        self.metrics.set_quarantined(Subject::Request, requests);
        self.metrics.set_quarantined(Subject::Part, parts);
        for verdict in verdicts {
            let subject = verdict.subject;
            match verdict.refused {
                true => {
                    warn!(self.log, "quarantined"; "subject" => %subject, "fingerprint" => %verdict.key, "strikes" => verdict.strikes);
                }
                false => {
                    info!(self.log, "quarantine ended"; "subject" => %subject, "fingerprint" => %verdict.key, "expired" => verdict.expired);
                }
            }
        }
        self.quarantine_changed.notify_waiters();
    }
}

/// Returns whether an answer with a status shows that an endpoint can run the request to its
/// end.
fn shows_sound(status: StatusCode) -> bool {
    let unprocessed = matches!(
        status,
        StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_EARLY | StatusCode::TOO_MANY_REQUESTS
    );
    !status.is_server_error() && !unprocessed
}

/// Returns the key of an endpoint's run in crash reports.
pub(crate) fn run_key(endpoint: &Endpoint) -> u64 {
    let incarnation = endpoint.incarnation.to_be_bytes();
    stable_hash([endpoint.id.as_bytes(), &incarnation])
}

/// Returns the time after which a quarantined caller may try again, in seconds.
pub(crate) fn retry_after_s(remaining: Duration) -> u64 {
    remaining.as_secs() + 1
}
