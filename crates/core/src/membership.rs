//! Liveness of the registered daemons, by probes and gossip.
//!
//! Each daemon probes one other per period, in a shuffled round, so the cost
//! per daemon does not depend on their number. A failed probe makes a member
//! suspect; it can refute that with a higher incarnation before it counts as
//! dead. Liveness steers traffic and nothing else: no right is granted on the
//! ground of a suspicion. See `docs/decisions/0008-membership.md`.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::{IndexedRandom as _, SliceRandom as _};
use serde::{Deserialize, Serialize};

use crate::ids::MemberId;
use crate::register::Register;
use crate::time::Time;

/// Times that a piece of news is passed on, per doubling of the members.
const REPEATS_PER_DOUBLING: u32 = 3;

/// Bounds of the failure detector.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Time that a suspect has to refute.
    pub suspicion_timeout: Duration,
    /// Pieces of news in one message at most.
    pub updates_per_message: usize,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            suspicion_timeout: Duration::from_secs(2),
            updates_per_message: 8,
        }
    }
}

/// What is known of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// The member answers.
    Alive,
    /// The member did not answer a probe.
    Suspect,
    /// The member announced its planned stop.
    Leaving,
    /// The member did not refute a suspicion in time.
    Dead,
}

/// A piece of news about a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct MemberUpdate {
    /// The member.
    pub member: MemberId,
    /// Raised by the member itself each time it refutes a suspicion.
    pub incarnation: u64,
    /// What is said of it.
    pub state: MemberState,
}

/// Whom to probe next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeTarget {
    /// The member.
    pub member: MemberId,
    /// Its address for other daemons.
    pub address: SocketAddr,
}

#[derive(Debug)]
struct Known {
    address: SocketAddr,
    incarnation: u64,
    state: MemberState,
    since: Time,
    repeats: u32,
}

/// One daemon's view of the others.
#[derive(Debug)]
pub struct Membership {
    settings: MembershipSettings,
    own: MemberId,
    incarnation: u64,
    own_state: MemberState,
    own_repeats: u32,
    known: HashMap<MemberId, Known>,
    round: Vec<MemberId>,
}

impl Membership {
    /// A view without other members.
    #[must_use]
    pub fn new(settings: MembershipSettings, own: MemberId) -> Self {
        Self {
            settings,
            own,
            incarnation: 0,
            own_state: MemberState::Alive,
            own_repeats: 0,
            known: HashMap::new(),
            round: Vec::new(),
        }
    }

    /// Takes the newest register: only registered daemons are members.
    pub fn set_register(&mut self, now: Time, register: &Register) {
        self.known.retain(|id, _| register.get(*id).is_some());
        self.round.retain(|id| register.get(*id).is_some());
        for daemon in register.daemons.iter().filter(|d| d.id != self.own) {
            let fresh = Known {
                address: daemon.peer,
                incarnation: 0,
                state: MemberState::Alive,
                since: now,
                repeats: 0,
            };
            self.known.entry(daemon.id).or_insert(fresh).address = daemon.peer;
        }
    }

    /// Returns the member to probe in this period.
    pub fn next_probe(&mut self, rng: &mut impl Rng) -> Option<ProbeTarget> {
        if self.round.is_empty() {
            self.round = self.known.keys().copied().collect();
            self.round.sort_unstable();
            self.round.shuffle(rng);
        }
        let member = self.round.pop()?;
        let address = self.known.get(&member)?.address;
        Some(ProbeTarget { member, address })
    }

    /// Returns members to ask for an indirect probe of `target`.
    pub fn indirect_probers(
        &self,
        target: MemberId,
        count: usize,
        rng: &mut impl Rng,
    ) -> Vec<ProbeTarget> {
        let mut others: Vec<_> = self
            .known
            .iter()
            .filter(|(id, k)| **id != target && k.state == MemberState::Alive)
            .map(|(id, k)| ProbeTarget {
                member: *id,
                address: k.address,
            })
            .collect();
        others.sort_unstable_by_key(|t| t.member);
        others.sample(rng, count).copied().collect()
    }

    /// Returns the address of a member.
    #[must_use]
    pub fn address(&self, member: MemberId) -> Option<SocketAddr> {
        self.known.get(&member).map(|k| k.address)
    }

    /// Returns the address of every other member.
    #[must_use]
    pub fn others(&self) -> Vec<ProbeTarget> {
        let target = |(id, k): (&MemberId, &Known)| ProbeTarget {
            member: *id,
            address: k.address,
        };
        self.known.iter().map(target).collect()
    }

    /// Returns the other members that are not known to be dead.
    #[must_use]
    pub fn live(&self) -> Vec<ProbeTarget> {
        let live = self
            .known
            .iter()
            .filter(|(_, k)| k.state != MemberState::Dead);
        live.map(|(id, k)| ProbeTarget {
            member: *id,
            address: k.address,
        })
        .collect()
    }

    /// Takes a reply, direct or through a helper.
    pub fn on_reply(&mut self, now: Time, member: MemberId, incarnation: u64) {
        let Some(known) = self.known.get_mut(&member) else {
            return;
        };
        let newer = incarnation > known.incarnation;
        known.incarnation = known.incarnation.max(incarnation);
        if matches!(known.state, MemberState::Suspect | MemberState::Dead) {
            known.state = MemberState::Alive;
            known.since = now;
        }
        if newer {
            known.repeats = 0;
        }
    }

    /// Takes the failure of a probe and of its helpers.
    pub fn on_probe_failed(&mut self, now: Time, member: MemberId) {
        let Some(known) = self.known.get_mut(&member) else {
            return;
        };
        if known.state == MemberState::Alive {
            known.state = MemberState::Suspect;
            known.since = now;
            known.repeats = 0;
        }
    }

    /// Takes a piece of news from another daemon.
    pub fn apply_update(&mut self, now: Time, news: MemberUpdate) {
        if news.member == self.own {
            self.refute(news);
            return;
        }
        let Some(known) = self.known.get_mut(&news.member) else {
            return;
        };
        let newer = news.incarnation > known.incarnation
            || (news.incarnation == known.incarnation && news.state > known.state);
        if newer {
            known.incarnation = news.incarnation;
            known.state = news.state;
            known.since = now;
            known.repeats = 0;
        }
    }

    fn refute(&mut self, news: MemberUpdate) {
        let wrong = matches!(news.state, MemberState::Suspect | MemberState::Dead);
        if wrong && news.incarnation >= self.incarnation {
            self.incarnation = news.incarnation + 1;
            self.own_repeats = 0;
        }
    }

    /// Announces the planned stop of this daemon.
    pub fn leave(&mut self) {
        self.own_state = MemberState::Leaving;
        self.incarnation += 1;
        self.own_repeats = 0;
    }

    /// Turns suspects that did not refute in time into dead members.
    pub fn tick(&mut self, now: Time) {
        for known in self.known.values_mut() {
            let overdue = now.since(known.since) >= self.settings.suspicion_timeout;
            if known.state == MemberState::Suspect && overdue {
                known.state = MemberState::Dead;
                known.since = now;
                known.repeats = 0;
            }
        }
    }

    /// Returns the news that was passed on least, and counts it as passed on.
    pub fn take_updates(&mut self) -> Vec<MemberUpdate> {
        let members = u32::try_from(self.known.len() + 1).unwrap_or(u32::MAX);
        let repeats_max = REPEATS_PER_DOUBLING * (members.ilog2() + 1);
        let mut news = Vec::new();
        if self.own_repeats < repeats_max {
            self.own_repeats += 1;
            let (member, incarnation, state) = (self.own, self.incarnation, self.own_state);
            news.push(MemberUpdate {
                member,
                incarnation,
                state,
            });
        }
        let mut pending: Vec<_> = self
            .known
            .iter_mut()
            .filter(|(_, k)| k.repeats < repeats_max)
            .collect();
        pending.sort_unstable_by_key(|(id, k)| (k.repeats, **id));
        let room = self.settings.updates_per_message.saturating_sub(news.len());
        for (id, known) in pending.into_iter().take(room) {
            known.repeats += 1;
            let (incarnation, state) = (known.incarnation, known.state);
            news.push(MemberUpdate {
                member: *id,
                incarnation,
                state,
            });
        }
        news
    }

    /// Returns this daemon's incarnation.
    #[must_use]
    pub const fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns what is known of a member; an unregistered one counts as dead.
    #[must_use]
    pub fn state(&self, member: MemberId) -> MemberState {
        if member == self.own {
            return self.own_state;
        }
        self.known
            .get(&member)
            .map_or(MemberState::Dead, |k| k.state)
    }

    /// Returns the members that have been dead for at least `span`.
    #[must_use]
    pub fn dead_for(&self, now: Time, span: Duration) -> Vec<MemberId> {
        let gone = |k: &Known| k.state == MemberState::Dead && now.since(k.since) >= span;
        let mut dead: Vec<_> = self
            .known
            .iter()
            .filter(|(_, k)| gone(k))
            .map(|(id, _)| *id)
            .collect();
        dead.sort_unstable();
        dead
    }
}
