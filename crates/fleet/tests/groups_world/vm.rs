//! The VMs and entries of the world.

use std::collections::BTreeMap;

use bulrushhoist_fleet::{
    Endpoint, EndpointPhase, HealthMonitor, HealthSettings, Name, Plan, Planner, PlannerSettings,
    Roster,
};

/// What a VM really does.
pub(crate) struct Vm {
    pub(crate) record: Endpoint,
    pub(crate) members: Vec<Name>,
    pub(crate) alive: bool,
    pub(crate) listening: bool,
    /// When it was last able to write to the store.
    pub(crate) beat: u64,
    pub(crate) store_cut: bool,
    /// When a leaving VM ends.
    pub(crate) ends: Option<u64>,
    pub(crate) highest: u64,
    pub(crate) ready_at: u64,
    pub(crate) last_model: Option<Name>,
    /// Whether it still writes its record.
    pub(crate) registers: bool,
    /// The record in the store.
    pub(crate) stored: Option<Endpoint>,
}

pub(crate) struct Entry {
    pub(crate) roster: Roster,
    pub(crate) monitor: HealthMonitor,
    pub(crate) planner: Planner,
    pub(crate) plan: Option<(Plan, u64)>,
    /// Until when this entry doesn't get on, as after a pause.
    pub(crate) paused: u64,
    pub(crate) seen: BTreeMap<Name, Endpoint>,
}

impl Vm {
    pub(crate) fn new(record: Endpoint) -> Self {
        Self {
            record,
            members: Vec::new(),
            alive: true,
            listening: true,
            beat: 0,
            store_cut: false,
            ends: None,
            highest: 0,
            ready_at: 0,
            last_model: None,
            registers: true,
            stored: None,
        }
    }

    pub(crate) fn restart(&mut self) {
        let mut record = self.record.clone();
        record.born += 1;
        record.phase = EndpointPhase::Ready;
        record.membership = None;
        record.model = None;
        *self = Self {
            beat: self.beat,
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
            paused: 0,
            seen: BTreeMap::new(),
        }
    }
}
