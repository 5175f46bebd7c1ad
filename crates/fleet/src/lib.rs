//! Decisions of an entry VM on a platform where replica groups are formed by orders.
//!
//! Operators write the configuration and endpoints write their own records to one
//! store, and the entries form groups by orders to their members. As in
//! `bulrushhoist-core`, nothing here reads a clock or opens a socket: each decision
//! depends only on its inputs and on the time that the caller passes in. See
//! `docs/SYSTEM.md`.

mod catalog;
mod copy_age;
mod demand;
mod directory;
mod endpoint;
mod endpoint_contact;
mod fitness;
mod health;
mod latency;
mod leader_choice;
mod membership;
mod named_limits;
mod orders;
mod pauses;
mod plain;
mod plan;
mod planner;
mod quarantine;
mod queue;
mod retry_budget;
mod roster;
mod stale_load;
mod state_transfer;
mod stop_plan;
mod store_contact;
mod timing;

pub use catalog::{
    CallKind, CallerLimits, Catalog, Denial, Engine, Model, Route, Service, Target, Team,
};
pub use copy_age::{AgeLimits, CopyAge, Distance, Place};
pub use demand::Demand;
pub use directory::{DirectoryEntry, draw_addresses};
pub use endpoint::{Endpoint, EndpointPhase, GroupMembership, GroupState};
pub use endpoint_contact::{ContactFailure, EndpointContact};
pub use fitness::{LeaderFitness, Rejection, quiet_time, unbegun_stall_timeout};
pub use health::{Health, HealthMonitor, HealthSettings};
pub use leader_choice::{
    ASSUMED_COLD_TIME, Candidate, ColdLimiter, ColdShare, LeaderChoice, LeaderChoiceSettings,
    SlotLimit, assumed_cold_time, choose_leader,
};
pub use membership::{
    Departure, Digest, DigestRate, EndpointLoad, EntryInfo, EntryStatus, Membership,
    MembershipSettings, News, Outgoing, OwnNews, Recipient, RelayChoice, Report, Role, Scope,
    Sender, SlowLeader, Suspicion, entries_hash,
};
pub use named_limits::{Allowance, NamedLimit, NamedLimits, holder_count};
pub use orders::{Order, OrderAnswer, OrderKind};
pub use pauses::{MAX_PAUSE, Pauses};
pub use plain::{PlainCandidate, PlainChoice, choose_plain_endpoint};
pub use plan::{GroupPlan, MemberPlan, Plan};
pub use planner::{LoadLimits, Planner, PlannerAction, PlannerSettings, VmView, recover, vm_views};
pub use quarantine::{
    Aged, Answer, AttemptKey, CrashReport, Loss, Quarantine, QuarantineSettings, Quarantined,
    SharedParts, Subject, Verdict,
};
pub use queue::{
    Discipline, MIN_RETRY_AFTER, QueueSettings, QueuedRequest, RequestQueue, StartClass,
};
pub use retry_budget::{SharedRetryBudget, SharedRetryBudgetSettings};
pub use roster::{Roster, RosterChange};
pub use stale_load::{RequestTimes, SendsByUse, StaleView, published_request_time};
pub use state_transfer::{PeerKnowledge, STATE_TRANSFER_TIMEOUT, StateTransfer};
pub use stop_plan::StopPlan;
pub use store_contact::StoreContact;
pub use timing::{
    Batch, FirstEventLatency, Work, expected_run_time, first_token_time, max_event_gap, step_time,
};

/// A name, reference-counted because many records share it.
pub type Name = std::sync::Arc<str>;

/// Offset basis of the 32-bit FNV-1a hash.
const FNV_OFFSET: u32 = 0x811c_9dc5;
/// Prime of the 32-bit FNV-1a hash.
const FNV_PRIME: u32 = 0x0100_0193;

fn fnv_hash(bytes: impl Iterator<Item = u8>) -> u32 {
    bytes.fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

/// Returns the 32-bit hash that stands for a name in messages between entries, to keep
/// them within one datagram.
#[must_use]
pub fn name_key(name: &str) -> u32 {
    fnv_hash(name.bytes())
}
