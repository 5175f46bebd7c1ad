//! VMs and entries of the simulation.

use std::collections::BTreeMap;

use bulrushhoist_fleet::{
    Endpoint, EndpointPhase, HealthMonitor, HealthSettings, Name, Plan, Planner, PlannerSettings,
    Roster,
};

/// True state of a VM.
pub(crate) struct Vm {
    pub(crate) record: Endpoint,
    /// Members in its last order to join; the first is the leader.
    pub(crate) members: Vec<Name>,
    pub(crate) alive: bool,
    /// Whether it accepts connections.
    pub(crate) listening: bool,
    /// When it last wrote to the store, in milliseconds.
    pub(crate) last_write: u64,
    /// Whether it can't reach the store.
    pub(crate) store_lost: bool,
    /// When a draining VM ends, in milliseconds.
    pub(crate) ends_at: Option<u64>,
    /// Highest epoch of the orders to join that it accepted.
    pub(crate) highest_epoch: u64,
    /// When its load finishes, in milliseconds.
    pub(crate) ready_at: u64,
    /// Model that it was last ordered to load.
    pub(crate) last_model: Option<Name>,
    /// Whether it still renews its record.
    pub(crate) writes_record: bool,
    /// The record in the store.
    pub(crate) stored: Option<Endpoint>,
}

/// An entry's view of the endpoints and its planner.
pub(crate) struct Entry {
    pub(crate) roster: Roster,
    pub(crate) monitor: HealthMonitor,
    pub(crate) planner: Planner,
    /// The plan that it last read, with its revision; `None` if it must read it again.
    pub(crate) plan: Option<(Plan, u64)>,
    /// Time in milliseconds until which this entry is suspended.
    pub(crate) paused_until: u64,
    /// Records that it last read from the store.
    pub(crate) seen: BTreeMap<Name, Endpoint>,
}

impl Vm {
    pub(crate) fn new(record: Endpoint) -> Self {
        Self {
            record,
            members: Vec::new(),
            alive: true,
            listening: true,
            last_write: 0,
            store_lost: false,
            ends_at: None,
            highest_epoch: 0,
            ready_at: 0,
            last_model: None,
            writes_record: true,
            stored: None,
        }
    }

    pub(crate) fn restart(&mut self) {
        let mut record = self.record.clone();
        record.incarnation += 1;
        record.phase = EndpointPhase::Ready;
        record.membership = None;
        record.model = None;
        *self = Self {
            last_write: self.last_write,
            stored: self.stored.take(),
            ..Self::new(record)
        };
    }
}

impl Entry {
    pub(crate) fn new() -> Self {
        Self {
            roster: Roster::default(),
            monitor: HealthMonitor::new(HealthSettings::default()),
            planner: Planner::new(PlannerSettings::default()),
            plan: None,
            paused_until: 0,
            seen: BTreeMap::new(),
        }
    }
}
