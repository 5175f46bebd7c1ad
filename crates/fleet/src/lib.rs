//! Decisions of an entry VM where the platform keeps what must last.
//!
//! Like `bulrushhoist-core`, this crate reads no clock and opens no socket: each
//! decision is a function of its inputs and of the time that the caller passes
//! in. It covers a platform on which operators write the configuration and
//! endpoints write their own records to one store, and on which a replica group
//! is formed by orders to its members. See `docs/SYSTEM.md`.

mod budget;
mod catalog;
mod endpoint;
mod monitor;
mod orders;
mod pace;
mod peers;
mod place;
mod plan;
mod planner;
mod pool;
mod roster;
mod waiting;

pub use budget::{BudgetSettings, SharedBudget};
pub use catalog::{
    CallKind, CallerLimits, Catalog, Denial, Engine, Model, Route, Service, Target, Team,
};
pub use endpoint::{Endpoint, EndpointPhase, GroupState, Membership};
pub use monitor::{Monitor, MonitorSettings, Vitality};
pub use orders::{Order, OrderAnswer, OrderKind};
pub use pace::{Batch, FirstTimes, Work, first_token, longest_pass, step_time};
pub use peers::{HeadLoad, Peer, PeerBook, PeerNews, PeerSettings, SlowHead, Suspicion};
pub use place::{
    COLD_DOUBT, Candidate, ColdAllowance, PlaceSettings, Placement, Room, choose_head, cold_doubt,
};
pub use plan::{GroupPlan, MemberPlan, Plan};
pub use planner::{GroupSettings, LoadLimits, Planner, Step, VmView, survey};
pub use pool::{PlainChoice, PlainLoad, choose_plain};
pub use roster::{Roster, RosterChange};
pub use waiting::{RETURN_LEAST, Turn, WaitingLine, WaitingSettings};

/// A name that is shared by many records.
pub type Name = std::sync::Arc<str>;
