//! Domain types and deterministic decision logic of bulrushhoist.
//!
//! Nothing in this crate reads a clock, opens a socket, starts a task or uses a
//! global random source. Every decision is a function of its inputs and of the
//! [`Time`] that the caller passes in, so that tests, fuzzers and the daemon
//! execute the same code. See `docs/ARCHITECTURE.md`.

mod admission;
mod allocation;
mod cache;
mod claim;
mod deployment;
mod dispatch;
mod evidence;
mod freshness;
mod ids;
mod join;
mod lease;
mod limit;
mod lint;
mod membership;
mod objects;
mod placement;
mod quarantine;
mod refusal;
mod register;
mod retry;
mod route;
mod service;
mod speed;
mod tables;
mod ticket;
mod time;
mod vm;

pub use admission::{AdmissionQueue, QueueLimits, QueuedRequest};
pub use allocation::{
    Allocation, Group, GroupNumber, GroupPhase, Lease, Member, Replacement, SettlingVm,
};
pub use cache::{CachedObject, ObjectCache};
pub use claim::{Claim, ClaimStatus, check_claim, claim_key};
pub use deployment::{
    DataCentre, Deployment, Fencing, Manifest, Method, Route, SourceFile, Team, Workload,
    WorkloadKind, check_files,
};
pub use dispatch::{Action, Dispatcher, DispatcherSettings, NewRequest, Outcome, ReplicaView};
pub use evidence::{EvidenceTable, NotServing, RelayedEvidence};
pub use freshness::{Freshness, FreshnessSettings};
pub use ids::{
    DataCentreName, DomainName, FencingToken, Fingerprint, Incarnation, InvalidName, MemberId,
    RegionName, RequestId, Revision, TeamName, VersionName, VmName, WorkloadName, stable_hash,
};
pub use join::{JoinTracker, ShareStatement};
pub use lease::{LeaseSettings, LeaseStep, LeaseTracker};
pub use limit::{LimitSettings, ReplicaLimit, share_of};
pub use lint::lint_files;
pub use membership::{MemberState, MemberUpdate, Membership, MembershipSettings, ProbeTarget};
pub use objects::{Envelope, ObjectKey, SharedBody};
pub use placement::{Order, OrderKind, PlacementSettings, Plan, PlanInput, Planner};
pub use quarantine::{Quarantine, QuarantineDecision, QuarantineSettings};
pub use refusal::{Execution, Reason, Refusal, RetryReason};
pub use register::{DaemonPhase, Register, RegisteredDaemon};
pub use retry::{RetryBudget, RetryBudgetSettings};
pub use route::{Choice, JoinState, ReplicaKey, Router, RouterPolicy};
pub use service::{DataCentreService, ServiceState};
pub use tables::{Problem, Problems, TableReader, parse_document};
pub use ticket::{
    Answer, RequestDigest, Ticket, TicketDecision, TicketError, TicketLimits, TicketOutcome,
    TicketSnapshot, TicketTable,
};
pub use time::Time;
pub use vm::{LoadReport, VmPhase, VmRecord, VmStatus};
