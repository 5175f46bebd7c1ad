//! VMs and entries of the simulation.

use std::collections::BTreeMap;

use bulrushhoist_fleet::{
    Endpoint, EndpointPhase, HealthMonitor, HealthSettings, Name, Plan, Planner, PlannerSettings,
    Roster,
};

/// True state of a VM.
pub(crate) struct Vm {
    pub(crate) record: Endpoint,
    pub(crate) members: Vec<Name>,
    pub(crate) alive: bool,
    pub(crate) listening: bool,
    /// When it last wrote to the store, in milliseconds.
    pub(crate) last_write: u64,
    pub(crate) store_lost: bool,
    /// When a draining VM ends, in milliseconds.
    pub(crate) ends_at: Option<u64>,
    pub(crate) highest_epoch: u64,
    pub(crate) ready_at: u64,
    pub(crate) last_model: Option<Name>,
    /// Whether it still renews its record.
    pub(crate) writes_record: bool,
    /// The record in the store.
    pub(crate) stored: Option<Endpoint>,
}

pub(crate) struct Entry {
    pub(crate) roster: Roster,
    pub(crate) monitor: HealthMonitor,
    pub(crate) planner: Planner,
    pub(crate) plan: Option<(Plan, u64)>,
    /// Time in milliseconds until which this entry is suspended.
    pub(crate) paused_until: u64,
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
