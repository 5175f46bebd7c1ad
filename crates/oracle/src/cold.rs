//! Simulation of a cold endpoint that entries share while they join and leave.
//!
//! Each entry divides the replica's limit by the number of entries in its copy
//! of the register, which may be outdated by up to the freshness window. The
//! oracle requires that the number of running requests never exceeds the
//! endpoint's current limit.

mod actions;

use std::net::SocketAddr;
use std::time::Duration;

use bulrushhoist_core::{
    Action, DataCentreName, DataCentreService, Deployment, Dispatcher, DispatcherSettings, Fencing,
    Fingerprint, Group, JoinState, JoinTracker, LimitSettings, LoadReport, MemberId, NewRequest,
    Outcome, Register, ReplicaKey, ReplicaLimit, ReplicaView, RequestId, Revision, ShareStatement,
    Time,
};
use smallvec::SmallVec;

use actions::pick;
pub use actions::{ColdStartAction, cold_start_actions};

use crate::fixtures::{self, ModelFixture};

/// Maximum age of the register copy of an entry that takes requests.
const FRESHNESS_WINDOW: Duration = Duration::from_secs(3);
/// Time after which the simulation ends a running request.
const MAX_RUN_TIME: Duration = Duration::from_secs(20);
/// Time after which an entry no longer waits for the others' share statements.
///
/// It exceeds [`MAX_RUN_TIME`], so that by then every request sent under
/// earlier shares has ended.
const JOIN_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of registered entries.
const MAX_ENTRIES: usize = 9;

const MODEL: ModelFixture<'_> = ModelFixture {
    vms: 1,
    cold_limit: 3,
    warm_limit: 40,
    ramp_requests: 4,
    replicas: &[("east", 1)],
    team_limit: 1000,
};

/// An entry with its dispatcher and its copy of the register.
struct Entry {
    id: MemberId,
    caller_address: SocketAddr,
    dispatcher: Dispatcher,
    /// Index in [`ColdStartSimulation::registers`] of the entry's register.
    known_register: u64,
    registered_at: Time,
    join_tracker: Option<JoinTracker>,
}

/// A share statement in flight between two entries.
struct StatementMessage {
    from: MemberId,
    to: MemberId,
    statement: ShareStatement,
}

/// A request that runs on the endpoint.
struct Running {
    entry: MemberId,
    id: RequestId,
    started_at: Time,
    epoch: u64,
}

/// Simulated entries and endpoint, with the ledger of running requests.
pub struct ColdStartSimulation {
    now: Time,
    deployment: Deployment,
    data_centre: DataCentreName,
    group: Group,
    entries: Vec<Entry>,
    /// Every stored register with its time, oldest first.
    registers: Vec<(Time, Register)>,
    running: Vec<Running>,
    messages: Vec<StatementMessage>,
    /// Crashed entries whose shares are not free yet, with the time of the crash.
    vanished: Vec<(MemberId, Time)>,
    limits: LimitSettings,
    epoch: u64,
    served: u64,
    next_id: u64,
    joined_entries: usize,
}

impl ColdStartSimulation {
    /// Creates a simulation of one cold replica without entries.
    #[must_use]
    pub fn new() -> Self {
        let deployment = MODEL.deployment();
        let workload = deployment
            .workloads
            .values()
            .next()
            .expect("the fixture declares one workload");
        assert_eq!(workload.fencing, Fencing::Checked);
        let limits = LimitSettings {
            cold: workload.cold_limit,
            warm: workload.warm_limit,
            ramp: workload.ramp_requests,
            target: workload.first_token,
        };
        let group = fixtures::replica(&workload.name, 1);
        Self {
            now: Time::from_millis(100_000),
            data_centre: "east".parse().expect("the name is valid"),
            deployment,
            group,
            entries: Vec::new(),
            registers: vec![(Time::ZERO, Register::default())],
            running: Vec::new(),
            messages: Vec::new(),
            vanished: Vec::new(),
            limits,
            epoch: 1,
            served: 0,
            next_id: 1,
            joined_entries: 0,
        }
    }

    fn replica_key(&self) -> ReplicaKey {
        ReplicaKey {
            data_centre: self.data_centre.clone(),
            number: self.group.number,
        }
    }

    /// Applies one action and checks the oracle; an error describes the violation.
    pub fn step(&mut self, action: &ColdStartAction) -> Result<(), String> {
        match action {
            ColdStartAction::Advance(ms) => self.advance(Duration::from_millis(*ms)),
            ColdStartAction::Register => {
                if self.entries.len() < MAX_ENTRIES {
                    self.register(None);
                }
            }
            ColdStartAction::Deregister(index) => self.deregister(*index),
            ColdStartAction::Crash(index) => self.crash(*index),
            ColdStartAction::ReadRegister(index) => {
                if let Some(index) = pick(*index, self.entries.len()) {
                    self.read_register(index);
                }
            }
            ColdStartAction::Send(index, count) => {
                if let Some(index) = pick(*index, self.entries.len()) {
                    self.send(index, *count);
                }
            }
            ColdStartAction::Finish(index) => {
                if let Some(index) = pick(*index, self.running.len()) {
                    self.finish(index);
                }
            }
            ColdStartAction::Probe(index) => {
                if let Some(index) = pick(*index, self.entries.len()) {
                    self.probe(index);
                }
            }
            ColdStartAction::RequestStatements(index) => {
                if let Some(index) = pick(*index, self.entries.len()) {
                    self.request_statements(index);
                }
            }
            ColdStartAction::DeliverStatement(index) => {
                if let Some(index) = pick(*index, self.messages.len()) {
                    self.deliver_statement(index);
                }
            }
            ColdStartAction::RestartEndpoint => self.restart_endpoint(),
        }
        self.check()
    }

    fn advance(&mut self, elapsed: Duration) {
        self.now = self.now + elapsed;
        for index in 0..self.entries.len() {
            self.enforce_freshness(index);
            if self.now.since(self.entries[index].registered_at) >= JOIN_TIMEOUT {
                self.mark_joined(index);
            }
            let entry = &mut self.entries[index];
            let actions = entry.dispatcher.tick(self.now);
            let id = entry.id;
            self.record_started(id, &actions);
        }
        self.release_vanished();
        while let Some(index) = self
            .running
            .iter()
            .position(|r| self.now.since(r.started_at) > MAX_RUN_TIME)
        {
            self.finish(index);
        }
    }

    /// Makes an entry read the register when its copy would become too old.
    ///
    /// A daemon whose copy is too old takes no requests. Reading at the last
    /// moment is the worst case that the freshness window allows.
    fn enforce_freshness(&mut self, index: usize) {
        let overdue = self
            .registers
            .iter()
            .position(|(stored, _)| self.now.since(*stored) >= FRESHNESS_WINDOW)
            .map(|_| {
                self.registers
                    .iter()
                    .filter(|(s, _)| self.now.since(*s) >= FRESHNESS_WINDOW)
                    .count()
            });
        let required = overdue.unwrap_or(1) as u64 - 1;
        if self.entries[index].known_register < required {
            self.read_register(index);
        }
    }

    /// Frees the share of a vanished entry after [`JOIN_TIMEOUT`], when all its
    /// requests have ended.
    fn release_vanished(&mut self) {
        let now = self.now;
        let expired = |vanished_at: &Time| now.since(*vanished_at) >= JOIN_TIMEOUT;
        let Some(index) = self
            .vanished
            .iter()
            .position(|(_, vanished_at)| expired(vanished_at))
        else {
            return;
        };
        let (id, _) = self.vanished.swap_remove(index);
        let mut register = self.newest_register().clone();
        register.release_vanished(id);
        self.registers.push((self.now, register));
    }

    /// Marks an entry as joined without statements from the other entries.
    fn mark_joined(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        entry.join_tracker = None;
        entry
            .dispatcher
            .router_mut()
            .set_join_state(JoinState::Joined);
    }

    fn request_statements(&mut self, index: usize) {
        let asker = self.entries[index].id;
        for asked in self.entries.iter().filter(|e| e.id != asker) {
            let statement = ShareStatement {
                register: Revision::new(asked.known_register),
                over_share: asked.dispatcher.over_share(),
            };
            self.messages.push(StatementMessage {
                from: asked.id,
                to: asker,
                statement,
            });
        }
    }

    fn deliver_statement(&mut self, index: usize) {
        let message = self.messages.swap_remove(index);
        let Some(asker) = self.entries.iter().position(|e| e.id == message.to) else {
            return;
        };
        if let Some(join_tracker) = &mut self.entries[asker].join_tracker {
            join_tracker.on_statement(message.from, message.statement);
        }
        self.update_join_state(asker);
    }

    /// Applies the statements received so far to what an entry may use.
    fn update_join_state(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        let Some(join_tracker) = &entry.join_tracker else {
            return;
        };
        let register = &self.registers[entry.known_register as usize].1;
        let others = register.share_holders().filter(|id| *id != entry.id);
        let join_state = join_tracker.state(others);
        if join_state == JoinState::Joined {
            entry.join_tracker = None;
            self.joined_entries += usize::from(register.daemons.len() > 1);
        }
        entry.dispatcher.router_mut().set_join_state(join_state);
    }

    /// Registers a new entry, at the address of a crashed one if it is given.
    fn register(&mut self, reused_address: Option<SocketAddr>) {
        let id = MemberId::new(self.next_id);
        self.next_id += 1;
        let mut register = self.newest_register().clone();
        let mut daemon = fixtures::daemon(id, &self.data_centre);
        daemon.caller_address = reused_address.unwrap_or(daemon.caller_address);
        let caller_address = daemon.caller_address;
        register.insert(daemon);
        let joined = Revision::new(self.registers.len() as u64);
        self.registers.push((self.now, register));
        let settings = DispatcherSettings {
            seed: id.get(),
            ..DispatcherSettings::default()
        };
        let mut dispatcher = Dispatcher::new(settings, id);
        dispatcher.set_fresh_until(fixtures::NO_EXPIRY);
        self.entries.push(Entry {
            id,
            caller_address,
            dispatcher,
            known_register: 0,
            registered_at: self.now,
            join_tracker: Some(JoinTracker::new(joined)),
        });
        self.read_register(self.entries.len() - 1);
    }

    fn crash(&mut self, index: usize) {
        if let Some(index) = pick(index, self.entries.len()) {
            let entry = self.entries.remove(index);
            self.vanished.push((entry.id, self.now));
            self.register(Some(entry.caller_address));
        }
    }

    fn deregister(&mut self, index: usize) {
        let Some(index) = pick(index, self.entries.len()) else {
            return;
        };
        let id = self.entries[index].id;
        if self.running.iter().any(|r| r.entry == id) {
            return;
        }
        self.entries.remove(index);
        let mut register = self.newest_register().clone();
        register.remove(id);
        self.registers.push((self.now, register));
    }

    fn newest_register(&self) -> &Register {
        &self
            .registers
            .last()
            .expect("the list starts with an empty register")
            .1
    }

    fn read_register(&mut self, index: usize) {
        let register = self.newest_register().clone();
        let replica_key = self.replica_key();
        let entry = &mut self.entries[index];
        entry.known_register = self.registers.len() as u64 - 1;
        let view = ReplicaView {
            data_centre: &self.data_centre,
            group: &self.group,
        };
        let service = DataCentreService::default();
        let dispatcher = &mut entry.dispatcher;
        dispatcher.reconfigure(
            &self.deployment,
            &service,
            &register,
            &self.data_centre,
            [view],
        );
        let serving_until = Some(fixtures::NO_EXPIRY);
        dispatcher
            .router_mut()
            .set_serving(&replica_key, serving_until);
        self.update_join_state(index);
    }

    fn send(&mut self, index: usize, count: u8) {
        for _ in 0..count {
            let id = RequestId::from(u128::from(self.next_id));
            self.next_id += 1;
            let request = NewRequest {
                id,
                team: "shop".parse().expect("the name is valid"),
                workload: self.group.workload.clone(),
                prefix: self.next_id,
                fingerprint: Fingerprint::new(self.next_id),
                deadline: self.now,
                avoid: SmallVec::new(),
                forwardable: false,
            };
            let entry = &mut self.entries[index];
            let actions = entry.dispatcher.submit(self.now, request);
            let entry = entry.id;
            self.record_started(entry, &actions);
        }
    }

    /// Adds the requests that a dispatcher has started to the ledger.
    fn record_started(&mut self, entry: MemberId, actions: &[Action]) {
        for action in actions {
            if let Action::Start(id, _) = action {
                let (started_at, epoch) = (self.now, self.epoch);
                self.running.push(Running {
                    entry,
                    id: *id,
                    started_at,
                    epoch,
                });
            }
        }
    }

    /// Ends a running request and tells its entry, if that has not crashed.
    fn finish(&mut self, index: usize) {
        let run = self.running.swap_remove(index);
        if run.epoch == self.epoch {
            self.served += 1;
        }
        let Some(entry) = self.entries.iter_mut().find(|e| e.id == run.entry) else {
            return;
        };
        let answered = Outcome::Answered(Duration::from_millis(50));
        let actions = entry.dispatcher.finish(self.now, run.id, answered);
        self.record_started(run.entry, &actions);
    }

    fn probe(&mut self, index: usize) {
        let replica_key = self.replica_key();
        let running = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        let report = LoadReport {
            epoch: self.epoch,
            served: self.served,
            running,
        };
        self.entries[index]
            .dispatcher
            .router_mut()
            .on_report(&replica_key, self.now, report);
    }

    /// Restarts the endpoint and gives every entry a report of the new epoch.
    ///
    /// In the daemon the group is not used until such a report has arrived,
    /// because the evidence of the old epoch does not match.
    fn restart_endpoint(&mut self) {
        self.epoch += 1;
        self.served = 0;
        for run in std::mem::take(&mut self.running) {
            if let Some(entry) = self.entries.iter_mut().find(|e| e.id == run.entry) {
                entry
                    .dispatcher
                    .finish(self.now, run.id, Outcome::Lost(None));
            }
        }
        let replica_key = self.replica_key();
        for index in 0..self.entries.len() {
            self.probe(index);
            let serving_until = Some(fixtures::NO_EXPIRY);
            self.entries[index]
                .dispatcher
                .router_mut()
                .set_serving(&replica_key, serving_until);
        }
    }

    /// Compares the running requests with the limit for the endpoint's real count
    /// of served requests.
    fn check(&self) -> Result<(), String> {
        let mut expected = ReplicaLimit::new(self.limits);
        expected.on_report(self.now, self.epoch, self.served);
        let (running, limit) = (self.running.len(), expected.total() as usize);
        if running > limit {
            return Err(format!(
                "{running} requests run, but the limit of the endpoint is {limit}"
            ));
        }
        Ok(())
    }

    /// Returns how many entries joined through the statements of others.
    #[must_use]
    pub fn joined_entries(&self) -> usize {
        self.joined_entries
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }
}

impl Default for ColdStartSimulation {
    fn default() -> Self {
        Self::new()
    }
}
