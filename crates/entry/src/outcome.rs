//! Why requests are refused or retried.

use derive_more::Display;
use hyper::StatusCode;

/// Why this entry ends a request without an endpoint's answer. The names are values of
/// logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub(crate) enum Refusal {
    /// No configuration is known yet.
    NoConfiguration,
    /// No route has this host and path.
    NoRoute,
    /// No team has the key.
    UnknownKey,
    /// The body is larger than the configuration allows.
    TooLarge,
    /// The bodies of other requests and answers use all the memory that they may use.
    NoRoom,
    /// The request cannot be read or parsed.
    BadRequest,
    /// Its body did not arrive in time.
    SlowBody,
    /// No endpoint of the service can be used.
    NoEndpoint,
    /// Every leader is full and so is the queue, or the wait would be too long.
    LineFull,
    /// Every endpoint that could run it asked for a pause, which lasts too long for it.
    Paused,
    /// Every endpoint that could run it has reached the limit that it named, for longer than
    /// the request may wait.
    Limited,
    /// It was in the queue for the longest time allowed.
    WaitedOut,
    /// Several endpoints were lost while they ran it.
    Quarantined,
    /// Several endpoints were lost under requests that share a part of its prompt.
    QuarantinedPart,
    /// Endpoints refused it without running it.
    EndpointRefused,
    /// An endpoint may have run it and the answer is lost.
    AnswerLost,
    /// Its deadline has passed.
    TimedOut,
    /// The entry is stopping and would exit before the request's deadline.
    Stopping,
}

impl Refusal {
    /// Returns whether the request is refused because endpoints crashed under it.
    pub(crate) const fn is_quarantine(self) -> bool {
        matches!(self, Self::Quarantined | Self::QuarantinedPart)
    }

    /// Returns whether a request is refused before any of its body is read.
    pub(crate) const fn is_unread(self) -> bool {
        matches!(
            self,
            Self::NoConfiguration | Self::NoRoute | Self::UnknownKey | Self::NoEndpoint
        )
    }

    /// Returns what the caller is told if no further attempt is possible for `reason`. A
    /// pause or limit of the other endpoints, or a stop of this entry, says when to come back, as
    /// long as nothing has run.
    pub(crate) const fn without_retry(self, reason: Self) -> Self {
        match (self, reason) {
            (Self::EndpointRefused, Self::Paused | Self::Limited | Self::Stopping) => reason,
            _ => self,
        }
    }

    /// Returns the status of the answer. The statuses 421, 429 and 503 promise that the
    /// request has not run and never will.
    pub(crate) const fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Self::AnswerLost => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Self::NoConfiguration
            | Self::NoRoom
            | Self::NoEndpoint
            | Self::LineFull
            | Self::Paused
            | Self::Limited
            | Self::WaitedOut
            | Self::Quarantined
            | Self::QuarantinedPart
            | Self::EndpointRefused
            | Self::Stopping => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// Why a stream that has begun ends before it is complete. The names are values of logs and
/// metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub(crate) enum CutCause {
    /// Its deadline has passed.
    Deadline,
    /// Its route allows no further attempt.
    Attempts,
    /// The retry budget is used up.
    Budget,
    /// Endpoints refused it too often, or no leader was left.
    NoLeader,
    /// Its route doesn't allow it to be resumed.
    NotResumable,
    /// An endpoint that should resume it gave another answer.
    OtherAnswer,
    /// It was refused because endpoints crash under it.
    Quarantined,
    /// Its caller read so slowly that the bytes which waited had no room.
    SlowCaller,
}

/// Why a streaming call is given up before its next event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct GaveUp {
    /// What a caller is told who has had no event.
    pub(crate) refusal: Refusal,
    /// Why the stream is cut if the caller has had one.
    pub(crate) cause: CutCause,
}

impl GaveUp {
    pub(crate) const fn new(refusal: Refusal, cause: CutCause) -> Self {
        Self { refusal, cause }
    }
}

/// Why a request is sent to another endpoint. The names are values of logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub(crate) enum RetryCause {
    /// The connection failed before anything was sent.
    Unsent,
    /// The endpoint refused it without running it.
    Refused,
    /// The leader refused it without running it although it has free slots.
    Unfit,
    /// Another endpoint has the address now.
    Misdirected,
    /// The connection broke, or the answer was unusable.
    Broken,
    /// The endpoint answered with a server error.
    Failed,
    /// The endpoint stalled, or did not answer in time.
    Silent,
}

/// Endpoints that may refuse a stream that hasn't begun; after one more, the caller is
/// refused.
const MAX_REFUSALS: u8 = 1;
/// The same if the last one is unfit: it rejects at once, so there is time for another, and
/// several leaders may be unfit at a time. One request must not use up the retry budget.
const MAX_UNFIT_REFUSALS: u8 = 3;

impl RetryCause {
    /// Returns how many endpoints may refuse a stream that hasn't begun if the last one did
    /// so for this cause.
    pub(crate) const fn max_refusals(self) -> u8 {
        match self {
            Self::Unfit => MAX_UNFIT_REFUSALS,
            Self::Unsent
            | Self::Refused
            | Self::Misdirected
            | Self::Broken
            | Self::Failed
            | Self::Silent => MAX_REFUSALS,
        }
    }
}
