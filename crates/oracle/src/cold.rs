//! Cold endpoints: entries that join, learn of each other late and all send to
//! one fresh replica.
//!
//! The oracle: the requests that run on the endpoint never exceed what it can
//! carry, whatever the entries think of each other. Every entry that takes
//! work knows the register of at most the freshness bound ago, as the
//! freshness rule provides.

use std::net::SocketAddr;
use std::time::Duration;

use bulrushhoist_core::{
    Action, DataCentreName, DataCentreService, Deployment, Dispatcher, DispatcherSettings, Fencing,
    Fingerprint, Group, JoinState, JoinTracker, LimitSettings, LoadReport, MemberId, NewRequest,
    Outcome, Register, ReplicaKey, ReplicaLimit, ReplicaView, RequestId, Revision, ShareStatement,
    Time,
};
use proptest::collection::vec;
use proptest::prelude::{Just, Strategy, prop_oneof};
use smallvec::SmallVec;

use crate::fixtures::{self, ModelFixture};

/// Freshness bound: an entry that takes work knows the register of then.
const LIFE: Duration = Duration::from_secs(3);
/// Longest run of a request.
const LONGEST_RUN: Duration = Duration::from_secs(20);
/// Time for which an entry waits for the statements of others.
const SETTLE: Duration = Duration::from_secs(30);
/// Numbers by which a drawn action picks an entry or a request.
const PICKS: usize = 1 << 16;
/// Entries at most.
const ENTRIES_MAX: usize = 9;

const MODEL: ModelFixture<'_> = ModelFixture {
    vms: 1,
    cold: 3,
    warm: 40,
    ramp: 4,
    replicas: &[("east", 1)],
    team_limit: 1000,
};

/// One step of the world.
#[derive(Clone, Debug)]
pub enum ColdAction {
    /// Time passes, in milliseconds.
    Advance(u64),
    /// An entry registers.
    Register,
    /// An entry that drained deregisters.
    Leave(usize),
    /// An entry's process ends, and a fresh one registers at its address. What
    /// the endpoint runs for the old one goes on.
    Crash(usize),
    /// An entry learns the newest register.
    Learn(usize),
    /// Callers send some requests to an entry.
    Send(usize, u8),
    /// A request ends.
    End(usize),
    /// An entry's probe is sent and answered.
    Probe(usize),
    /// An entry asks every other what it has in flight.
    Ask(usize),
    /// An answer to such a question arrives.
    Answer(usize),
    /// The endpoint restarts cold; its requests are lost.
    Restart,
}

/// Draws a run of the world.
pub fn cold_actions() -> impl Strategy<Value = Vec<ColdAction>> {
    let index = || 0..PICKS;
    let action = prop_oneof![
        16 => (1_u64..2_000).prop_map(ColdAction::Advance),
        8 => Just(ColdAction::Register),
        4 => index().prop_map(ColdAction::Leave),
        1 => index().prop_map(ColdAction::Crash),
        16 => index().prop_map(ColdAction::Learn),
        32 => (index(), 1_u8..12).prop_map(|(i, n)| ColdAction::Send(i, n)),
        24 => index().prop_map(ColdAction::End),
        32 => index().prop_map(ColdAction::Probe),
        32 => index().prop_map(ColdAction::Ask),
        128 => index().prop_map(ColdAction::Answer),
        4 => Just(ColdAction::Restart),
    ];
    vec(action, 1..300)
}

struct Entry {
    id: MemberId,
    caller: SocketAddr,
    dispatcher: Dispatcher,
    known: u64,
    registered: Time,
    newcomer: Option<JoinTracker>,
}

/// An entry's answer on its way to another.
struct Transit {
    from: MemberId,
    to: MemberId,
    statement: ShareStatement,
}

struct Running {
    entry: MemberId,
    id: RequestId,
    since: Time,
    epoch: u64,
}

/// The world and its ledger.
pub struct ColdWorld {
    now: Time,
    deployment: Deployment,
    home: DataCentreName,
    group: Group,
    entries: Vec<Entry>,
    registers: Vec<(Time, Register)>,
    running: Vec<Running>,
    transits: Vec<Transit>,
    vanished: Vec<(MemberId, Time)>,
    limits: LimitSettings,
    epoch: u64,
    served: u64,
    next: u64,
    settled: usize,
}

impl ColdWorld {
    /// A world with one cold replica and no entries.
    #[must_use]
    pub fn new() -> Self {
        let deployment = MODEL.deployment();
        let workload = deployment
            .workloads
            .values()
            .next()
            .expect("the file declares one");
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
            home: "east".parse().expect("a sound name"),
            deployment,
            group,
            entries: Vec::new(),
            registers: vec![(Time::ZERO, Register::default())],
            running: Vec::new(),
            transits: Vec::new(),
            vanished: Vec::new(),
            limits,
            epoch: 1,
            served: 0,
            next: 1,
            settled: 0,
        }
    }

    fn key(&self) -> ReplicaKey {
        ReplicaKey {
            data_centre: self.home.clone(),
            number: self.group.number,
        }
    }

    /// Takes one step and checks the oracle; an error describes the violation.
    pub fn step(&mut self, action: &ColdAction) -> Result<(), String> {
        match action {
            ColdAction::Advance(ms) => self.advance(Duration::from_millis(*ms)),
            ColdAction::Register => {
                if self.entries.len() < ENTRIES_MAX {
                    self.register(None);
                }
            }
            ColdAction::Leave(at) => self.leave(*at),
            ColdAction::Crash(at) => self.crash(*at),
            ColdAction::Learn(at) => {
                if let Some(at) = pick(*at, self.entries.len()) {
                    self.learn(at);
                }
            }
            ColdAction::Send(at, count) => {
                if let Some(at) = pick(*at, self.entries.len()) {
                    self.send(at, *count);
                }
            }
            ColdAction::End(at) => {
                if let Some(at) = pick(*at, self.running.len()) {
                    self.end(at);
                }
            }
            ColdAction::Probe(at) => {
                if let Some(at) = pick(*at, self.entries.len()) {
                    self.probe(at);
                }
            }
            ColdAction::Ask(at) => {
                if let Some(at) = pick(*at, self.entries.len()) {
                    self.ask(at);
                }
            }
            ColdAction::Answer(at) => {
                if let Some(at) = pick(*at, self.transits.len()) {
                    self.answer(at);
                }
            }
            ColdAction::Restart => self.restart(),
        }
        self.check()
    }

    fn advance(&mut self, span: Duration) {
        self.now = self.now + span;
        for at in 0..self.entries.len() {
            self.keep_fresh(at);
            if self.now.since(self.entries[at].registered) >= SETTLE {
                self.settle(at);
            }
            let entry = &mut self.entries[at];
            let events = entry.dispatcher.tick(self.now);
            let id = entry.id;
            self.note_started(id, &events);
        }
        self.forget_vanished();
        while let Some(at) = self
            .running
            .iter()
            .position(|r| self.now.since(r.since) > LONGEST_RUN)
        {
            self.end(at);
        }
    }

    /// The freshness rule: who did not learn for too long learns or stops. The
    /// world lets it learn at the last moment.
    fn keep_fresh(&mut self, at: usize) {
        let overdue = self
            .registers
            .iter()
            .position(|(stored, _)| self.now.since(*stored) >= LIFE)
            .map(|_| {
                self.registers
                    .iter()
                    .filter(|(s, _)| self.now.since(*s) >= LIFE)
                    .count()
            });
        let due = overdue.unwrap_or(1) as u64 - 1;
        if self.entries[at].known < due {
            self.learn(at);
        }
    }

    /// What processes sent that vanished long ago has ended.
    fn forget_vanished(&mut self) {
        let now = self.now;
        let long_ago = |at: &Time| now.since(*at) >= SETTLE;
        let Some(at) = self.vanished.iter().position(|(_, at)| long_ago(at)) else {
            return;
        };
        let (id, _) = self.vanished.swap_remove(at);
        let mut register = self.newest().clone();
        register.forget_vanished(id);
        self.registers.push((self.now, register));
    }

    /// After the longest run of a request no statement is needed.
    fn settle(&mut self, at: usize) {
        let entry = &mut self.entries[at];
        entry.newcomer = None;
        entry
            .dispatcher
            .router_mut()
            .set_join_state(JoinState::Joined);
    }

    fn ask(&mut self, at: usize) {
        let asker = self.entries[at].id;
        for asked in self.entries.iter().filter(|e| e.id != asker) {
            let statement = ShareStatement {
                register: Revision::new(asked.known),
                over_share: asked.dispatcher.over_share(),
            };
            self.transits.push(Transit {
                from: asked.id,
                to: asker,
                statement,
            });
        }
    }

    fn answer(&mut self, at: usize) {
        let transit = self.transits.swap_remove(at);
        let Some(asker) = self.entries.iter().position(|e| e.id == transit.to) else {
            return;
        };
        if let Some(newcomer) = &mut self.entries[asker].newcomer {
            newcomer.on_statement(transit.from, transit.statement);
        }
        self.refresh_standing(asker);
    }

    fn refresh_standing(&mut self, at: usize) {
        let entry = &mut self.entries[at];
        let Some(newcomer) = &entry.newcomer else {
            return;
        };
        let register = &self.registers[entry.known as usize].1;
        let others = register.sharers().filter(|id| *id != entry.id);
        let standing = newcomer.state(others);
        if standing == JoinState::Joined {
            entry.newcomer = None;
            self.settled += usize::from(register.daemons.len() > 1);
        }
        entry.dispatcher.router_mut().set_join_state(standing);
    }

    /// Registers an entry, at the address of an earlier one or at its own.
    fn register(&mut self, earlier: Option<SocketAddr>) {
        let id = MemberId::new(self.next);
        self.next += 1;
        let mut register = self.newest().clone();
        let mut daemon = fixtures::daemon(id, &self.home);
        daemon.caller = earlier.unwrap_or(daemon.caller);
        let caller = daemon.caller;
        register.insert(daemon);
        let joined = Revision::new(self.registers.len() as u64);
        self.registers.push((self.now, register));
        let settings = DispatcherSettings {
            seed: id.get(),
            ..DispatcherSettings::default()
        };
        let mut dispatcher = Dispatcher::new(settings, id);
        dispatcher.set_fresh_until(fixtures::FOREVER);
        self.entries.push(Entry {
            id,
            caller,
            dispatcher,
            known: 0,
            registered: self.now,
            newcomer: Some(JoinTracker::new(joined)),
        });
        self.learn(self.entries.len() - 1);
    }

    fn crash(&mut self, at: usize) {
        if let Some(at) = pick(at, self.entries.len()) {
            let entry = self.entries.remove(at);
            self.vanished.push((entry.id, self.now));
            self.register(Some(entry.caller));
        }
    }

    fn leave(&mut self, at: usize) {
        let Some(at) = pick(at, self.entries.len()) else {
            return;
        };
        let id = self.entries[at].id;
        if self.running.iter().any(|r| r.entry == id) {
            return;
        }
        self.entries.remove(at);
        let mut register = self.newest().clone();
        register.remove(id);
        self.registers.push((self.now, register));
    }

    fn newest(&self) -> &Register {
        &self.registers.last().expect("there is always one").1
    }

    fn learn(&mut self, at: usize) {
        let register = self.newest().clone();
        let key = self.key();
        let entry = &mut self.entries[at];
        entry.known = self.registers.len() as u64 - 1;
        let view = ReplicaView {
            data_centre: &self.home,
            group: &self.group,
        };
        let service = DataCentreService::default();
        let dispatcher = &mut entry.dispatcher;
        dispatcher.reconfigure(&self.deployment, &service, &register, &self.home, [view]);
        let always = Some(fixtures::FOREVER);
        dispatcher.router_mut().set_serving(&key, always);
        self.refresh_standing(at);
    }

    fn send(&mut self, at: usize, count: u8) {
        for _ in 0..count {
            let id = RequestId::from(u128::from(self.next));
            self.next += 1;
            let request = NewRequest {
                id,
                team: "shop".parse().expect("a sound name"),
                workload: self.group.workload.clone(),
                prefix: self.next,
                fingerprint: Fingerprint::new(self.next),
                deadline: self.now,
                avoid: SmallVec::new(),
                forwardable: false,
            };
            let entry = &mut self.entries[at];
            let events = entry.dispatcher.submit(self.now, request);
            let entry = entry.id;
            self.note_started(entry, &events);
        }
    }

    fn note_started(&mut self, entry: MemberId, events: &[Action]) {
        for event in events {
            if let Action::Start(id, _) = event {
                let (since, epoch) = (self.now, self.epoch);
                self.running.push(Running {
                    entry,
                    id: *id,
                    since,
                    epoch,
                });
            }
        }
    }

    fn end(&mut self, at: usize) {
        let run = self.running.swap_remove(at);
        if run.epoch == self.epoch {
            self.served += 1;
        }
        let Some(entry) = self.entries.iter_mut().find(|e| e.id == run.entry) else {
            return;
        };
        let answered = Outcome::Answered(Duration::from_millis(50));
        let events = entry.dispatcher.finish(self.now, run.id, answered);
        self.note_started(run.entry, &events);
    }

    fn probe(&mut self, at: usize) {
        let key = self.key();
        let running = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        let report = LoadReport {
            epoch: self.epoch,
            served: self.served,
            running,
        };
        self.entries[at]
            .dispatcher
            .router_mut()
            .on_report(&key, self.now, report);
    }

    /// A restart is noticed: the group is out of use until every entry has a
    /// report of the new run, as evidence and mismatch provide.
    fn restart(&mut self) {
        self.epoch += 1;
        self.served = 0;
        for run in std::mem::take(&mut self.running) {
            if let Some(entry) = self.entries.iter_mut().find(|e| e.id == run.entry) {
                entry
                    .dispatcher
                    .finish(self.now, run.id, Outcome::Lost(None));
            }
        }
        let key = self.key();
        for at in 0..self.entries.len() {
            self.probe(at);
            let always = Some(fixtures::FOREVER);
            self.entries[at]
                .dispatcher
                .router_mut()
                .set_serving(&key, always);
        }
    }

    fn check(&self) -> Result<(), String> {
        let mut truth = ReplicaLimit::new(self.limits);
        truth.on_report(self.now, self.epoch, self.served);
        let (running, most) = (self.running.len(), truth.total() as usize);
        if running > most {
            return Err(format!(
                "{running} requests run, the endpoint carries {most}"
            ));
        }
        Ok(())
    }

    /// Returns the entries that settled by the statements of others.
    #[must_use]
    pub fn settled(&self) -> usize {
        self.settled
    }

    /// Returns the requests that run now.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }
}

impl Default for ColdWorld {
    fn default() -> Self {
        Self::new()
    }
}

fn pick(at: usize, len: usize) -> Option<usize> {
    (len > 0).then(|| at % len)
}
