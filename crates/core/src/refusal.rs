//! Reasons for refusals and retries of requests.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Whether a refused request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// No endpoint ran the request, and none will.
    #[display("not_run")]
    NotRun,
    /// The request may have run.
    #[display("unknown")]
    Unknown,
}

/// Reason of a refusal; each has a stable code and a counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Reason {
    /// The body, a header or a parameter is malformed.
    BadRequest,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The body did not arrive in time.
    BodyTooSlow,
    /// The daemon has reached its maximum number of concurrent requests.
    TooManyRequests,
    /// No team has the request's token.
    Unauthorized,
    /// No model or service has this name.
    UnknownWorkload,
    /// The service has no route for the path and method.
    UnknownRoute,
    /// A non-idempotent request came with neither a ticket nor a key.
    TicketRequired,
    /// The ticket is malformed or was not issued by the daemon that it names.
    BadTicket,
    /// The ticket or key was already used for another request.
    TicketReused,
    /// The ticket is so old that its outcome may have been dropped.
    TicketExpired,
    /// The daemon that issued the ticket is gone or unreachable.
    OwnerUnreachable,
    /// The claim for an idempotency key could not be stored.
    ClaimFailed,
    /// The daemon has no proof that its configuration is current.
    Stale,
    /// The daemon is stopping.
    Draining,
    /// No replica of the workload is serving.
    NoReplica,
    /// This entry has no slots at any replica of the workload, but others may.
    NoShare,
    /// The request could not start before its deadline, or the workload's queues
    /// are full.
    Overloaded,
    /// The queue of the team is full.
    QueueFull,
    /// The team has reached its maximum number of requests in flight.
    TeamLimit,
    /// The request is suspected of crashing endpoints.
    Quarantined,
    /// The endpoint failed and the request may not be repeated.
    EndpointFailed,
    /// The request's retries or the team's retry budget are used up.
    RetriesExhausted,
    /// The endpoint does not know the stream any more.
    StreamGone,
}

impl Reason {
    /// All reasons, so that each counter exists from the start.
    pub const ALL: [Self; 24] = [
        Self::BadRequest,
        Self::BodyTooLarge,
        Self::BodyTooSlow,
        Self::TooManyRequests,
        Self::Unauthorized,
        Self::UnknownWorkload,
        Self::UnknownRoute,
        Self::TicketRequired,
        Self::BadTicket,
        Self::TicketReused,
        Self::TicketExpired,
        Self::OwnerUnreachable,
        Self::ClaimFailed,
        Self::Stale,
        Self::Draining,
        Self::NoReplica,
        Self::NoShare,
        Self::Overloaded,
        Self::QueueFull,
        Self::TeamLimit,
        Self::Quarantined,
        Self::EndpointFailed,
        Self::RetriesExhausted,
        Self::StreamGone,
    ];

    /// Returns the HTTP status of the refusal.
    #[must_use]
    pub const fn http_status(self) -> u16 {
        match self {
            Self::BadRequest | Self::TicketRequired | Self::BadTicket => 400,
            Self::Unauthorized => 401,
            Self::UnknownWorkload | Self::UnknownRoute => 404,
            Self::BodyTooSlow => 408,
            Self::TicketReused => 409,
            Self::TicketExpired | Self::StreamGone => 410,
            Self::BodyTooLarge => 413,
            Self::Quarantined => 422,
            Self::QueueFull | Self::TeamLimit => 429,
            Self::EndpointFailed | Self::OwnerUnreachable | Self::RetriesExhausted => 502,
            Self::TooManyRequests
            | Self::ClaimFailed
            | Self::Stale
            | Self::Draining
            | Self::NoReplica
            | Self::NoShare
            | Self::Overloaded => 503,
        }
    }

    /// Returns the seconds after which a retry may succeed, or `None` if a
    /// retry is of no use.
    #[must_use]
    pub const fn retry_after_s(self) -> Option<u32> {
        match self {
            Self::TooManyRequests
            | Self::ClaimFailed
            | Self::Stale
            | Self::Draining
            | Self::NoReplica
            | Self::NoShare
            | Self::Overloaded
            | Self::QueueFull
            | Self::TeamLimit
            | Self::RetriesExhausted => Some(1),
            Self::Quarantined => Some(60),
            _ => None,
        }
    }
}

/// A refusal as it is returned to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display("{reason} ({execution})")]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: Reason,
    /// Whether the request may have run.
    pub execution: Execution,
}

impl Refusal {
    /// Creates the refusal of a request that no endpoint ran or will run.
    #[must_use]
    pub const fn not_run(reason: Reason) -> Self {
        Self {
            reason,
            execution: Execution::NotRun,
        }
    }

    /// Creates the refusal of a request that may have run.
    #[must_use]
    pub const fn unknown(reason: Reason) -> Self {
        Self {
            reason,
            execution: Execution::Unknown,
        }
    }
}

/// Reason of a retry; each has a counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum RetryReason {
    /// The connection failed before the request was written.
    ConnectFailed,
    /// The endpoint refused the request without running it.
    EndpointRefused,
    /// The endpoint was lost while it ran an idempotent request.
    EndpointLost,
    /// The answer was malformed, truncated or belonged to another request.
    BadAnswer,
    /// A stream stalled and was resumed on a new connection.
    StreamResumed,
}

impl RetryReason {
    /// All reasons, so that each counter exists from the start.
    pub const ALL: [Self; 5] = [
        Self::ConnectFailed,
        Self::EndpointRefused,
        Self::EndpointLost,
        Self::BadAnswer,
        Self::StreamResumed,
    ];
}
