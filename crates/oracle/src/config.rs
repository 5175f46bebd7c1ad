//! Simulation of configuration propagation under partitions and platform outages.
//!
//! The oracle requires that a daemon that may take new requests holds every
//! change accepted before the freshness window, and that no daemon's copy ever
//! goes back to an earlier revision. A change is accepted once it is stored and
//! a majority of the committee holds it.

use std::collections::BTreeSet;
use std::time::Duration;

use bulrushhoist_core::{Freshness, FreshnessSettings, MemberId, ObjectCache, ObjectKey, Time};
use proptest::collection::vec;
use proptest::prelude::{Just, Strategy, any, prop_oneof};

/// Number of daemons; all of them are on the committee.
const DAEMONS: usize = 5;
/// Age up to which a proof of freshness counts.
const FRESHNESS_WINDOW: Duration = Duration::from_secs(3);

/// One step of the simulation.
#[derive(Clone, Debug)]
pub enum ConfigAction {
    /// Advances the clock by this many milliseconds.
    Advance(u64),
    /// An operator stores a change, if the platform is up.
    Store,
    /// A daemon sends a read to the platform.
    SendRead(usize),
    /// The platform answers an open read, if it is up.
    AnswerRead(usize),
    /// An answered read arrives.
    DeliverRead(usize),
    /// A daemon sends a probe to another one.
    SendProbe(usize, usize),
    /// An open probe is answered.
    AnswerProbe(usize),
    /// An answered probe arrives.
    DeliverProbe(usize),
    /// A daemon reads the platform, and the answer arrives at once.
    Read(usize),
    /// A daemon probes another one, and the answer arrives at once.
    Probe(usize, usize),
    /// Partitions the daemons whose bit is set from the others and from the
    /// platform.
    Partition(u8),
    /// A probe or its answer is lost.
    DropProbe(usize),
    /// The platform goes down or comes back.
    SetPlatformUp(bool),
    /// A daemon is replaced by a new process without state.
    ReplaceDaemon(usize),
}

/// Returns a strategy that draws the actions of one run.
pub fn config_actions() -> impl Strategy<Value = Vec<ConfigAction>> {
    let index = || any::<prop::Index>().prop_map(|i| i.index(64));
    let daemon = || 0..DAEMONS;
    let action = prop_oneof![
        4 => (1_u64..1_500).prop_map(ConfigAction::Advance),
        2 => Just(ConfigAction::Store),
        4 => daemon().prop_map(ConfigAction::SendRead),
        4 => index().prop_map(ConfigAction::AnswerRead),
        4 => index().prop_map(ConfigAction::DeliverRead),
        8 => (daemon(), daemon()).prop_map(|(a, b)| ConfigAction::SendProbe(a, b)),
        8 => index().prop_map(ConfigAction::AnswerProbe),
        8 => index().prop_map(ConfigAction::DeliverProbe),
        8 => daemon().prop_map(ConfigAction::Read),
        16 => (daemon(), daemon()).prop_map(|(a, b)| ConfigAction::Probe(a, b)),
        1 => any::<u8>().prop_map(ConfigAction::Partition),
        2 => index().prop_map(ConfigAction::DropProbe),
        1 => any::<bool>().prop_map(ConfigAction::SetPlatformUp),
        1 => daemon().prop_map(ConfigAction::ReplaceDaemon),
    ];
    vec(action, 1..200)
}

mod prop {
    pub(super) use proptest::sample::Index;
}

/// A daemon with its copy of the configuration and its proof of freshness.
struct Daemon {
    id: MemberId,
    cache: ObjectCache,
    freshness: Freshness,
    highest_revision: u64,
}

/// The revision and the age of the proof that a probed daemon reports.
#[derive(Clone)]
struct Reply {
    revision: u64,
    age: Option<Duration>,
}

/// A read of the platform, with the revision once it has been answered.
struct Read {
    daemon: MemberId,
    sent: Time,
    revision: Option<u64>,
}

/// A probe between daemons, with the reply once it has been answered.
struct Probe {
    from: MemberId,
    to: MemberId,
    sent: Time,
    reply: Option<Reply>,
}

/// Simulated daemons and platform, with the ledger of accepted revisions.
pub struct ConfigSimulation {
    now: Time,
    daemons: Vec<Daemon>,
    next_id: u64,
    stored_revision: u64,
    platform_up: bool,
    /// Bit set of the daemons on the other side of the partition.
    partition: u8,
    reads: Vec<Read>,
    probes: Vec<Probe>,
    /// Accepted revisions with the time of their acceptance, in order.
    accepted: Vec<(u64, Time)>,
}

impl Default for ConfigSimulation {
    fn default() -> Self {
        Self::new()
    }
}

impl ConfigSimulation {
    /// Creates a simulation of daemons without configuration.
    #[must_use]
    pub fn new() -> Self {
        let mut simulation = Self {
            now: Time::from_millis(100_000),
            daemons: Vec::new(),
            next_id: 0,
            stored_revision: 0,
            platform_up: true,
            partition: 0,
            reads: Vec::new(),
            probes: Vec::new(),
            accepted: Vec::new(),
        };
        for _ in 0..DAEMONS {
            let daemon = simulation.new_daemon();
            simulation.daemons.push(daemon);
        }
        simulation.set_committee();
        simulation
    }

    fn new_daemon(&mut self) -> Daemon {
        self.next_id += 1;
        let id = MemberId::new(self.next_id);
        let freshness = Freshness::new(
            FreshnessSettings {
                lifetime: FRESHNESS_WINDOW,
            },
            id,
        );
        Daemon {
            id,
            cache: ObjectCache::default(),
            freshness,
            highest_revision: 0,
        }
    }

    fn set_committee(&mut self) {
        let committee: Vec<MemberId> = self.daemons.iter().map(|d| d.id).collect();
        for daemon in &mut self.daemons {
            daemon.freshness.set_committee(committee.clone());
        }
    }

    /// Applies one action and checks the oracle; an error describes the violation.
    pub fn step(&mut self, action: &ConfigAction) -> Result<(), String> {
        match *action {
            ConfigAction::Advance(ms) => self.now = self.now + Duration::from_millis(ms),
            ConfigAction::Store if self.platform_up => self.stored_revision += 1,
            ConfigAction::Store => {}
            ConfigAction::SendRead(index) => {
                let (daemon, sent) = (self.daemons[index].id, self.now);
                self.reads.push(Read {
                    daemon,
                    sent,
                    revision: None,
                });
            }
            ConfigAction::AnswerRead(index) => self.answer_read(index),
            ConfigAction::DeliverRead(index) => self.deliver_read(index),
            ConfigAction::SendProbe(from, to) if from != to => {
                let (from, to) = (self.daemons[from].id, self.daemons[to].id);
                self.probes.push(Probe {
                    from,
                    to,
                    sent: self.now,
                    reply: None,
                });
            }
            ConfigAction::SendProbe(..) => {}
            ConfigAction::AnswerProbe(index) => self.answer_probe(index),
            ConfigAction::DeliverProbe(index) => self.deliver_probe(index),
            ConfigAction::Read(index) => self.read(index),
            ConfigAction::Probe(from, to) if from != to => self.probe(from, to),
            ConfigAction::Probe(..) => {}
            ConfigAction::Partition(partition) => self.partition = partition,
            ConfigAction::DropProbe(index) => {
                if !self.probes.is_empty() {
                    self.probes.swap_remove(index % self.probes.len());
                }
            }
            ConfigAction::SetPlatformUp(platform_up) => self.platform_up = platform_up,
            ConfigAction::ReplaceDaemon(index) => self.replace_daemon(index),
        }
        self.record_accepted();
        self.check()
    }

    fn is_partitioned(&self, index: usize) -> bool {
        self.partition >> index & 1 == 1
    }

    fn read(&mut self, index: usize) {
        if self.platform_up && !self.is_partitioned(index) {
            let (now, stored_revision) = (self.now, self.stored_revision);
            let daemon = &mut self.daemons[index];
            daemon.adopt(stored_revision);
            daemon.freshness.on_platform_read(now);
        }
    }

    fn probe(&mut self, from: usize, to: usize) {
        if self.is_partitioned(from) == self.is_partitioned(to) {
            let (revision, age) = (
                self.daemons[to].revision(),
                self.daemons[to].freshness.age(self.now),
            );
            let (to, now) = (self.daemons[to].id, self.now);
            let daemon = &mut self.daemons[from];
            daemon.adopt(revision);
            daemon.freshness.on_reply(to, now, age);
        }
    }

    fn answer_read(&mut self, index: usize) {
        let open: Vec<usize> = (0..self.reads.len())
            .filter(|i| self.reads[*i].revision.is_none())
            .collect();
        if self.platform_up && !open.is_empty() {
            self.reads[open[index % open.len()]].revision = Some(self.stored_revision);
        }
    }

    fn deliver_read(&mut self, index: usize) {
        let answered: Vec<usize> = (0..self.reads.len())
            .filter(|i| self.reads[*i].revision.is_some())
            .collect();
        if answered.is_empty() {
            return;
        }
        let read = self.reads.swap_remove(answered[index % answered.len()]);
        let Some(daemon) = self.daemons.iter_mut().find(|d| d.id == read.daemon) else {
            return;
        };
        daemon.adopt(read.revision.unwrap_or(0));
        daemon.freshness.on_platform_read(read.sent);
    }

    fn answer_probe(&mut self, index: usize) {
        let open: Vec<usize> = (0..self.probes.len())
            .filter(|i| self.probes[*i].reply.is_none())
            .collect();
        if open.is_empty() {
            return;
        }
        let index = open[index % open.len()];
        let to = self.probes[index].to;
        let Some(daemon) = self.daemons.iter().find(|d| d.id == to) else {
            return;
        };
        let reply = Reply {
            revision: daemon.revision(),
            age: daemon.freshness.age(self.now),
        };
        self.probes[index].reply = Some(reply);
    }

    /// Delivers an answered probe.
    ///
    /// As in the daemon, the reply proves freshness only after the announced
    /// revision has been adopted.
    fn deliver_probe(&mut self, index: usize) {
        let answered: Vec<usize> = (0..self.probes.len())
            .filter(|i| self.probes[*i].reply.is_some())
            .collect();
        if answered.is_empty() {
            return;
        }
        let probe = self.probes.swap_remove(answered[index % answered.len()]);
        let Some(reply) = probe.reply else { return };
        let Some(daemon) = self.daemons.iter_mut().find(|d| d.id == probe.from) else {
            return;
        };
        daemon.adopt(reply.revision);
        daemon.freshness.on_reply(probe.to, probe.sent, reply.age);
    }

    /// Replaces a daemon, unless the platform is down.
    ///
    /// A new process must register at the platform before it joins the
    /// committee.
    fn replace_daemon(&mut self, index: usize) {
        if self.platform_up {
            self.daemons[index] = self.new_daemon();
            self.set_committee();
            // The registration also reads the platform.
            let (now, stored_revision) = (self.now, self.stored_revision);
            let daemon = &mut self.daemons[index];
            daemon.adopt(stored_revision);
            daemon.freshness.on_platform_read(now);
        }
    }

    /// Records every revision that a majority of the committee now holds.
    fn record_accepted(&mut self) {
        let mut revisions: Vec<u64> = self.daemons.iter().map(Daemon::revision).collect();
        revisions.sort_unstable_by(|a, b| b.cmp(a));
        let accepted_revision = revisions[DAEMONS / 2];
        let last = self.accepted.last().map_or(0, |(r, _)| *r);
        for revision in last + 1..=accepted_revision {
            self.accepted.push((revision, self.now));
        }
    }

    /// Checks every daemon for a revision that went back or that is too old.
    fn check(&mut self) -> Result<(), String> {
        let window_start = self.now - FRESHNESS_WINDOW;
        let required = self
            .accepted
            .iter()
            .filter(|(_, accepted_at)| *accepted_at < window_start)
            .map(|(r, _)| *r)
            .max();
        let required = required.unwrap_or(0);
        for daemon in &mut self.daemons {
            let revision = daemon.revision();
            if revision < daemon.highest_revision {
                return Err(format!(
                    "daemon {} went back from revision {} to {revision}",
                    daemon.id, daemon.highest_revision
                ));
            }
            daemon.highest_revision = revision;
            if daemon.freshness.is_fresh(self.now) && revision < required {
                return Err(format!(
                    "daemon {} serves with revision {revision}, but must hold {required}",
                    daemon.id
                ));
            }
        }
        Ok(())
    }

    /// Returns the daemons that may take new requests.
    #[must_use]
    pub fn fresh_daemons(&self) -> BTreeSet<MemberId> {
        let fresh_daemons = self
            .daemons
            .iter()
            .filter(|d| d.freshness.is_fresh(self.now));
        fresh_daemons.map(|d| d.id).collect()
    }
}

impl Daemon {
    fn revision(&self) -> u64 {
        self.cache
            .revision(&ObjectKey::service())
            .map_or(0, bulrushhoist_core::Revision::get)
    }

    /// Offers a revision to the daemon's copy, which keeps the newest one.
    fn adopt(&mut self, revision: u64) {
        if revision > 0 {
            let json = format!(r#"{{"revision":{revision},"write_id":0,"body":{{"out":[]}}}}"#);
            self.cache.insert_newer(&ObjectKey::service(), &json);
        }
    }
}
