//! Decisions of an entry VM on a platform where replica groups are formed by orders.
//!
//! Operators write the configuration and endpoints write their own records to one
//! store, and the entries form groups by orders to their members. As in
//! `bulrushhoist-core`, nothing here reads a clock or opens a socket: each decision
//! depends only on its inputs and on the time that the caller passes in. See
//! `docs/SYSTEM.md`.

mod catalog;
mod endpoint;
mod health;
mod leader_choice;
mod orders;
mod peers;
mod plain;
mod plan;
mod planner;
mod queue;
mod retry_budget;
mod roster;
mod timing;

pub use catalog::{
    CallKind, CallerLimits, Catalog, Denial, Engine, Model, Route, Service, Target, Team,
};
pub use endpoint::{Endpoint, EndpointPhase, GroupMembership, GroupState};
pub use health::{Health, HealthMonitor, HealthSettings};
pub use leader_choice::{
    ASSUMED_COLD_TIME, Candidate, ColdLimiter, LeaderChoice, LeaderChoiceSettings, SlotLimit,
    assumed_cold_time, choose_leader,
};
pub use orders::{Order, OrderAnswer, OrderKind};
pub use peers::{EndpointLoad, Peer, PeerSettings, PeerTable, PeerUpdate, SlowLeader, Suspicion};
pub use plain::{PlainCandidate, PlainChoice, choose_plain_endpoint};
pub use plan::{GroupPlan, MemberPlan, Plan};
pub use planner::{LoadLimits, Planner, PlannerAction, PlannerSettings, VmView, vm_views};
pub use queue::{MIN_RETRY_AFTER, QueueSettings, QueuedRequest, RequestQueue};
pub use retry_budget::{SharedRetryBudget, SharedRetryBudgetSettings};
pub use roster::{Roster, RosterChange};
pub use timing::{Batch, FirstEventLatency, Work, first_token_time, max_event_gap, step_time};

/// A name, reference-counted because many records share it.
pub type Name = std::sync::Arc<str>;
