//! Why requests are refused or sent once more.

use derive_more::Display;
use hyper::StatusCode;

/// Why this entry ends a request without an endpoint's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub(crate) enum Refusal {
    /// No configuration is known yet.
    NoConfiguration,
    /// No route has this host and path.
    NoRoute,
    /// No team holds the key.
    UnknownKey,
    /// The body is larger than the configuration allows.
    TooLarge,
    /// The request can't be understood.
    BadRequest,
    /// Its body didn't arrive in time.
    SlowBody,
    /// No endpoint of the service can be used.
    NoEndpoint,
    /// Every head is full and the line is too long.
    LineFull,
    /// It waited for a head as long as it could.
    WaitedOut,
    /// It ended several endpoints that ran it.
    Quarantined,
    /// Endpoints refused it without running it.
    EndpointRefused,
    /// An endpoint may have run it and the answer is lost.
    AnswerLost,
    /// The time for an answer is over.
    TimedOut,
    /// The entry stops before the request could end.
    Stopping,
}

impl Refusal {
    /// Returns the status of the answer. 421, 429 and 503 promise that the
    /// request never runs.
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
            | Self::NoEndpoint
            | Self::LineFull
            | Self::WaitedOut
            | Self::Quarantined
            | Self::EndpointRefused
            | Self::Stopping => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// Why a request is sent to another endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub(crate) enum RetryCause {
    /// Nothing was sent: the connection failed.
    Unsent,
    /// The endpoint refused it without running it.
    Refused,
    /// Another endpoint has the address.
    Misdirected,
    /// The connection broke or the answer was unusable.
    Broken,
    /// The endpoint answered with a failure.
    Failed,
    /// The endpoint was silent for too long.
    Silent,
}
