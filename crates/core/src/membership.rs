//! Liveness of the registered daemons, by probes and gossip (as in SWIM).
//!
//! Each daemon probes one other per period, in a shuffled round-robin order, so
//! that the cost per daemon does not depend on their number. A failed probe
//! makes a member suspect; the member can refute the suspicion with a higher
//! incarnation before it counts as dead. Liveness only steers traffic: no
//! right to run requests or to change objects follows from a suspicion. See
//! `docs/decisions/0008-membership.md`.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::{IndexedRandom as _, SliceRandom as _};
use serde::{Deserialize, Serialize};

use crate::ids::MemberId;
use crate::register::Register;
use crate::time::Time;

/// Number of times that an update is sent on, per doubling of the members.
const SENDS_PER_DOUBLING: u32 = 3;

/// Settings of the failure detector.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Time within which a suspect has to refute the suspicion.
    pub suspicion_timeout: Duration,
    /// Maximum number of updates in one message.
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

/// Liveness of a member. States that override others compare as greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// The member answers probes.
    Alive,
    /// The member did not answer a probe.
    Suspect,
    /// The member has announced its planned stop.
    Leaving,
    /// The member did not refute a suspicion in time.
    Dead,
}

/// An update about the state of a member, as gossip spreads it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct MemberUpdate {
    /// Identity of the member.
    pub member: MemberId,
    /// Counter that the member raises to refute a suspicion (SWIM's incarnation
    /// number, not the process's [`Incarnation`](crate::Incarnation)).
    pub incarnation: u64,
    /// State of the member.
    pub state: MemberState,
}

/// A member that can be probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeTarget {
    /// Identity of the member.
    pub member: MemberId,
    /// Address of the member for other daemons.
    pub address: SocketAddr,
}

#[derive(Debug)]
struct MemberInfo {
    address: SocketAddr,
    incarnation: u64,
    state: MemberState,
    /// Time of the last change of the state.
    since: Time,
    /// Number of times that the present state has been sent on.
    sends: u32,
}

/// One daemon's view of the other daemons.
#[derive(Debug)]
pub struct Membership {
    settings: MembershipSettings,
    own: MemberId,
    incarnation: u64,
    own_state: MemberState,
    own_sends: u32,
    known: HashMap<MemberId, MemberInfo>,
    /// Members that are still to be probed in this round.
    round: Vec<MemberId>,
}

impl Membership {
    /// Creates a view without other members.
    #[must_use]
    pub fn new(settings: MembershipSettings, own: MemberId) -> Self {
        Self {
            settings,
            own,
            incarnation: 0,
            own_state: MemberState::Alive,
            own_sends: 0,
            known: HashMap::new(),
            round: Vec::new(),
        }
    }

    /// Applies the newest register, since only registered daemons are members.
    pub fn set_register(&mut self, now: Time, register: &Register) {
        self.known.retain(|id, _| register.get(*id).is_some());
        self.round.retain(|id| register.get(*id).is_some());
        for daemon in register.daemons.iter().filter(|d| d.id != self.own) {
            let new = MemberInfo {
                address: daemon.peer_address,
                incarnation: 0,
                state: MemberState::Alive,
                since: now,
                sends: 0,
            };
            self.known.entry(daemon.id).or_insert(new).address = daemon.peer_address;
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

    /// Returns up to `count` random members that can probe `target` indirectly.
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
        let target = |(id, k): (&MemberId, &MemberInfo)| ProbeTarget {
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

    /// Records a reply of a member, direct or through an indirect probe.
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
            known.sends = 0;
        }
    }

    /// Records that a member answered neither the probe nor any indirect one.
    pub fn on_probe_failed(&mut self, now: Time, member: MemberId) {
        let Some(known) = self.known.get_mut(&member) else {
            return;
        };
        if known.state == MemberState::Alive {
            known.state = MemberState::Suspect;
            known.since = now;
            known.sends = 0;
        }
    }

    /// Applies an update from another daemon if it is newer than what is known.
    pub fn apply_update(&mut self, now: Time, update: MemberUpdate) {
        if update.member == self.own {
            self.refute(update);
            return;
        }
        let Some(known) = self.known.get_mut(&update.member) else {
            return;
        };
        let newer = update.incarnation > known.incarnation
            || (update.incarnation == known.incarnation && update.state > known.state);
        if newer {
            known.incarnation = update.incarnation;
            known.state = update.state;
            known.since = now;
            known.sends = 0;
        }
    }

    fn refute(&mut self, update: MemberUpdate) {
        let wrong = matches!(update.state, MemberState::Suspect | MemberState::Dead);
        if wrong && update.incarnation >= self.incarnation {
            self.incarnation = update.incarnation + 1;
            self.own_sends = 0;
        }
    }

    /// Announces the planned stop of this daemon.
    pub fn leave(&mut self) {
        self.own_state = MemberState::Leaving;
        self.incarnation += 1;
        self.own_sends = 0;
    }

    /// Marks suspects as dead that did not refute the suspicion in time.
    pub fn tick(&mut self, now: Time) {
        for known in self.known.values_mut() {
            let overdue = now.since(known.since) >= self.settings.suspicion_timeout;
            if known.state == MemberState::Suspect && overdue {
                known.state = MemberState::Dead;
                known.since = now;
                known.sends = 0;
            }
        }
    }

    /// Returns the updates that were sent least often, and counts them as sent.
    ///
    /// Each update is sent a number of times that grows with the logarithm of
    /// the number of members, so that the messages stay small.
    pub fn take_updates(&mut self) -> Vec<MemberUpdate> {
        let members = u32::try_from(self.known.len() + 1).unwrap_or(u32::MAX);
        let max_sends = SENDS_PER_DOUBLING * (members.ilog2() + 1);
        let mut updates = Vec::new();
        if self.own_sends < max_sends {
            self.own_sends += 1;
            let (member, incarnation, state) = (self.own, self.incarnation, self.own_state);
            updates.push(MemberUpdate {
                member,
                incarnation,
                state,
            });
        }
        let mut pending: Vec<_> = self
            .known
            .iter_mut()
            .filter(|(_, k)| k.sends < max_sends)
            .collect();
        pending.sort_unstable_by_key(|(id, k)| (k.sends, **id));
        let remaining = self
            .settings
            .updates_per_message
            .saturating_sub(updates.len());
        for (id, known) in pending.into_iter().take(remaining) {
            known.sends += 1;
            let (incarnation, state) = (known.incarnation, known.state);
            updates.push(MemberUpdate {
                member: *id,
                incarnation,
                state,
            });
        }
        updates
    }

    /// Returns this daemon's incarnation.
    #[must_use]
    pub const fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the state of a member; an unregistered one counts as dead.
    #[must_use]
    pub fn state(&self, member: MemberId) -> MemberState {
        if member == self.own {
            return self.own_state;
        }
        self.known
            .get(&member)
            .map_or(MemberState::Dead, |k| k.state)
    }

    /// Returns the members that have been dead for at least `min_time`.
    #[must_use]
    pub fn dead_for(&self, now: Time, min_time: Duration) -> Vec<MemberId> {
        let gone = |k: &MemberInfo| k.state == MemberState::Dead && now.since(k.since) >= min_time;
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
