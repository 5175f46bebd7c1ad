//! Configuration in force: daemons, a platform, operators and partitions.
//!
//! The oracle: a daemon that may take new work holds every change that was
//! accepted longer ago than the freshness bound, and no daemon's copy ever
//! goes back. A change is accepted when it is stored and a majority of the
//! committee knows it.

use std::collections::BTreeSet;
use std::time::Duration;

use bulrushhoist_core::{Freshness, FreshnessSettings, MemberId, ObjectCache, ObjectKey, Time};
use proptest::collection::vec;
use proptest::prelude::{Just, Strategy, any, prop_oneof};

/// Daemons in the world; all of them are on the committee.
const DAEMONS: usize = 5;
/// Age up to which a proof counts.
const LIFE: Duration = Duration::from_secs(3);

/// One step of the world.
#[derive(Clone, Debug)]
pub enum ConfigAction {
    /// Time passes, in milliseconds.
    Advance(u64),
    /// An operator stores a change, if the platform is up.
    Store,
    /// A daemon sends a read to the platform.
    ReadSend(usize),
    /// The platform takes up a read.
    ReadServe(usize),
    /// The oldest answered read arrives.
    ReadArrive(usize),
    /// A daemon sends a probe to another.
    ProbeSend(usize, usize),
    /// The probe is answered.
    ProbeServe(usize),
    /// The answer arrives.
    ProbeArrive(usize),
    /// A daemon reads the platform without delay.
    Read(usize),
    /// A daemon probes another without delay.
    Probe(usize, usize),
    /// The daemons whose bit is set are cut off from the others and from the
    /// platform.
    Split(u8),
    /// A message is lost.
    Lose(usize),
    /// The platform goes down or comes back.
    Platform(bool),
    /// A daemon is replaced by one with empty memory.
    Replace(usize),
}

/// Draws a run of the world.
pub fn config_actions() -> impl Strategy<Value = Vec<ConfigAction>> {
    let index = || any::<prop::Index>().prop_map(|i| i.index(64));
    let daemon = || 0..DAEMONS;
    let action = prop_oneof![
        4 => (1_u64..1_500).prop_map(ConfigAction::Advance),
        2 => Just(ConfigAction::Store),
        4 => daemon().prop_map(ConfigAction::ReadSend),
        4 => index().prop_map(ConfigAction::ReadServe),
        4 => index().prop_map(ConfigAction::ReadArrive),
        8 => (daemon(), daemon()).prop_map(|(a, b)| ConfigAction::ProbeSend(a, b)),
        8 => index().prop_map(ConfigAction::ProbeServe),
        8 => index().prop_map(ConfigAction::ProbeArrive),
        8 => daemon().prop_map(ConfigAction::Read),
        16 => (daemon(), daemon()).prop_map(|(a, b)| ConfigAction::Probe(a, b)),
        1 => any::<u8>().prop_map(ConfigAction::Split),
        2 => index().prop_map(ConfigAction::Lose),
        1 => any::<bool>().prop_map(ConfigAction::Platform),
        1 => daemon().prop_map(ConfigAction::Replace),
    ];
    vec(action, 1..200)
}

mod prop {
    pub(super) use proptest::sample::Index;
}

struct Daemon {
    id: MemberId,
    cache: ObjectCache,
    freshness: Freshness,
    highest: u64,
}

/// What a reply carries.
#[derive(Clone)]
struct Reply {
    revision: u64,
    age: Option<Duration>,
}

struct Read {
    daemon: MemberId,
    sent: Time,
    found: Option<u64>,
}

struct Probe {
    from: MemberId,
    to: MemberId,
    sent: Time,
    reply: Option<Reply>,
}

/// The world and its ledger.
pub struct ConfigWorld {
    now: Time,
    daemons: Vec<Daemon>,
    next_id: u64,
    stored: u64,
    up: bool,
    split: u8,
    reads: Vec<Read>,
    probes: Vec<Probe>,
    accepted: Vec<(u64, Time)>,
}

impl Default for ConfigWorld {
    fn default() -> Self {
        Self::new()
    }
}

impl ConfigWorld {
    /// A world without any configuration.
    #[must_use]
    pub fn new() -> Self {
        let mut world = Self {
            now: Time::from_millis(100_000),
            daemons: Vec::new(),
            next_id: 0,
            stored: 0,
            up: true,
            split: 0,
            reads: Vec::new(),
            probes: Vec::new(),
            accepted: Vec::new(),
        };
        for _ in 0..DAEMONS {
            let daemon = world.fresh_daemon();
            world.daemons.push(daemon);
        }
        world.set_committee();
        world
    }

    fn fresh_daemon(&mut self) -> Daemon {
        self.next_id += 1;
        let id = MemberId::new(self.next_id);
        let freshness = Freshness::new(FreshnessSettings { lifetime: LIFE }, id);
        Daemon {
            id,
            cache: ObjectCache::default(),
            freshness,
            highest: 0,
        }
    }

    fn set_committee(&mut self) {
        let committee: Vec<MemberId> = self.daemons.iter().map(|d| d.id).collect();
        for daemon in &mut self.daemons {
            daemon.freshness.set_committee(committee.clone());
        }
    }

    /// Takes one step and checks the oracle; an error describes the violation.
    pub fn step(&mut self, action: &ConfigAction) -> Result<(), String> {
        match *action {
            ConfigAction::Advance(ms) => self.now = self.now + Duration::from_millis(ms),
            ConfigAction::Store if self.up => self.stored += 1,
            ConfigAction::Store => {}
            ConfigAction::ReadSend(at) => {
                let (daemon, sent) = (self.daemons[at].id, self.now);
                self.reads.push(Read {
                    daemon,
                    sent,
                    found: None,
                });
            }
            ConfigAction::ReadServe(at) => self.serve_read(at),
            ConfigAction::ReadArrive(at) => self.arrive_read(at),
            ConfigAction::ProbeSend(from, to) if from != to => {
                let (from, to) = (self.daemons[from].id, self.daemons[to].id);
                self.probes.push(Probe {
                    from,
                    to,
                    sent: self.now,
                    reply: None,
                });
            }
            ConfigAction::ProbeSend(..) => {}
            ConfigAction::ProbeServe(at) => self.serve_probe(at),
            ConfigAction::ProbeArrive(at) => self.arrive_probe(at),
            ConfigAction::Read(at) => self.read(at),
            ConfigAction::Probe(from, to) if from != to => self.probe(from, to),
            ConfigAction::Probe(..) => {}
            ConfigAction::Split(split) => self.split = split,
            ConfigAction::Lose(at) => {
                if !self.probes.is_empty() {
                    self.probes.swap_remove(at % self.probes.len());
                }
            }
            ConfigAction::Platform(up) => self.up = up,
            ConfigAction::Replace(at) => self.replace(at),
        }
        self.note_accepted();
        self.check()
    }

    fn is_cut(&self, at: usize) -> bool {
        self.split >> at & 1 == 1
    }

    fn read(&mut self, at: usize) {
        if self.up && !self.is_cut(at) {
            let (now, stored) = (self.now, self.stored);
            let daemon = &mut self.daemons[at];
            daemon.adopt(stored);
            daemon.freshness.on_platform_read(now);
        }
    }

    fn probe(&mut self, from: usize, to: usize) {
        if self.is_cut(from) == self.is_cut(to) {
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

    fn serve_read(&mut self, at: usize) {
        let unserved: Vec<usize> = (0..self.reads.len())
            .filter(|i| self.reads[*i].found.is_none())
            .collect();
        if self.up && !unserved.is_empty() {
            self.reads[unserved[at % unserved.len()]].found = Some(self.stored);
        }
    }

    fn arrive_read(&mut self, at: usize) {
        let served: Vec<usize> = (0..self.reads.len())
            .filter(|i| self.reads[*i].found.is_some())
            .collect();
        if served.is_empty() {
            return;
        }
        let read = self.reads.swap_remove(served[at % served.len()]);
        let Some(daemon) = self.daemons.iter_mut().find(|d| d.id == read.daemon) else {
            return;
        };
        daemon.adopt(read.found.unwrap_or(0));
        daemon.freshness.on_platform_read(read.sent);
    }

    fn serve_probe(&mut self, at: usize) {
        let unserved: Vec<usize> = (0..self.probes.len())
            .filter(|i| self.probes[*i].reply.is_none())
            .collect();
        if unserved.is_empty() {
            return;
        }
        let at = unserved[at % unserved.len()];
        let to = self.probes[at].to;
        let Some(daemon) = self.daemons.iter().find(|d| d.id == to) else {
            return;
        };
        let reply = Reply {
            revision: daemon.revision(),
            age: daemon.freshness.age(self.now),
        };
        self.probes[at].reply = Some(reply);
    }

    /// A reply counts once everything it announces is held, as in the daemon.
    fn arrive_probe(&mut self, at: usize) {
        let served: Vec<usize> = (0..self.probes.len())
            .filter(|i| self.probes[*i].reply.is_some())
            .collect();
        if served.is_empty() {
            return;
        }
        let probe = self.probes.swap_remove(served[at % served.len()]);
        let Some(reply) = probe.reply else { return };
        let Some(daemon) = self.daemons.iter_mut().find(|d| d.id == probe.from) else {
            return;
        };
        daemon.adopt(reply.revision);
        daemon.freshness.on_reply(probe.to, probe.sent, reply.age);
    }

    /// A replaced VM needs the platform to register, so while it is down the
    /// committee stays as it was and the new process is not on it.
    fn replace(&mut self, at: usize) {
        if self.up {
            self.daemons[at] = self.fresh_daemon();
            self.set_committee();
            // The registration is a read of the platform as well.
            let (now, stored) = (self.now, self.stored);
            let daemon = &mut self.daemons[at];
            daemon.adopt(stored);
            daemon.freshness.on_platform_read(now);
        }
    }

    fn note_accepted(&mut self) {
        let mut revisions: Vec<u64> = self.daemons.iter().map(Daemon::revision).collect();
        revisions.sort_unstable_by(|a, b| b.cmp(a));
        let by_majority = revisions[DAEMONS / 2];
        let last = self.accepted.last().map_or(0, |(r, _)| *r);
        for revision in last + 1..=by_majority {
            self.accepted.push((revision, self.now));
        }
    }

    fn check(&mut self) -> Result<(), String> {
        let bound = self.now - LIFE;
        let due = self
            .accepted
            .iter()
            .filter(|(_, at)| *at < bound)
            .map(|(r, _)| *r)
            .max();
        let due = due.unwrap_or(0);
        for daemon in &mut self.daemons {
            let revision = daemon.revision();
            if revision < daemon.highest {
                return Err(format!(
                    "{} went back from {} to {revision}",
                    daemon.id, daemon.highest
                ));
            }
            daemon.highest = revision;
            if daemon.freshness.is_fresh(self.now) && revision < due {
                return Err(format!(
                    "{} serves with {revision}, {due} is due",
                    daemon.id
                ));
            }
        }
        Ok(())
    }

    /// Returns the daemons that may take new work.
    #[must_use]
    pub fn fresh(&self) -> BTreeSet<MemberId> {
        let fresh = self
            .daemons
            .iter()
            .filter(|d| d.freshness.is_fresh(self.now));
        fresh.map(|d| d.id).collect()
    }
}

impl Daemon {
    fn revision(&self) -> u64 {
        self.cache
            .revision(&ObjectKey::service())
            .map_or(0, bulrushhoist_core::Revision::get)
    }

    fn adopt(&mut self, revision: u64) {
        if revision > 0 {
            let json = format!(r#"{{"revision":{revision},"write_id":0,"body":{{"out":[]}}}}"#);
            self.cache.insert_newer(&ObjectKey::service(), &json);
        }
    }
}
