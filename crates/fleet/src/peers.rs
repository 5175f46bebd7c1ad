//! What the entries tell each other a few times a second.
//!
//! Answers seven entries that all see the same idle head: each adds what the
//! others had in flight a moment ago. The same message carries liveness for the
//! callers' directory, suspicions against endpoints and who may plan groups.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bulrushhoist_core::{Fingerprint, Time};

use crate::Name;

/// Bounds on how long a message counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// Time between two messages of a peer.
    pub interval: Duration,
    /// Silence after which a peer isn't named to callers any more.
    pub live_timeout: Duration,
    /// Silence after which its requests at endpoints can't go on.
    pub forget_timeout: Duration,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(200),
            live_timeout: Duration::from_millis(1_100),
            forget_timeout: Duration::from_secs(10),
        }
    }
}

/// What one entry has in flight at one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointLoad {
    /// Short hash of the endpoint's name.
    pub key: u32,
    /// Requests in flight.
    pub requests: u32,
    /// Prompt tokens of requests without a first event.
    pub prefill_tokens: u32,
}

/// A sign against an endpoint that another entry saw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspicion {
    /// The endpoint.
    pub endpoint: Name,
    /// Its incarnation.
    pub born: u64,
}

/// A head whose group is slower than published.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowLeader {
    /// Short hash of the head's name.
    pub key: u32,
    /// Factor by which it is slower.
    pub slowdown: f64,
}

/// One message of a peer.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerUpdate {
    /// Name of the peer's VM.
    pub node: Name,
    /// Run of the peer's process.
    pub incarnation: u64,
    /// Number of the message within the run.
    pub sequence: u64,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Processor time that it may use, in thousandths of a core.
    pub cpu_milli: u32,
    /// Whether it takes callers.
    pub ready: bool,
    /// Whether what it knows of the store is complete and new.
    pub synced: bool,
    /// Whether it plans groups.
    pub planning: bool,
    /// What it has in flight.
    pub loads: Vec<EndpointLoad>,
    /// Endpoints that failed or stalled a moment ago.
    pub suspects: Vec<Suspicion>,
    /// Slow heads, as the entry sees them that plans and probes.
    pub slow: Vec<SlowLeader>,
    /// Requests that endpoints were lost with, and the lost incarnations.
    pub strikes: Vec<(Fingerprint, u64)>,
}

/// A peer and its last message.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The last message.
    pub update: PeerUpdate,
    /// When it came.
    pub received: Time,
}

/// The peers that were heard of.
#[derive(Debug, Default)]
pub struct PeerTable {
    settings: PeerSettings,
    peers: HashMap<Name, Peer>,
}

impl PeerTable {
    /// A book without peers.
    #[must_use]
    pub fn new(settings: PeerSettings) -> Self {
        Self {
            settings,
            peers: HashMap::new(),
        }
    }

    /// Sets the time between two messages of a peer, and the silence after which a
    /// peer isn't named to callers any more.
    pub fn set_interval(&mut self, interval: Duration, silence: Duration) {
        self.settings.interval = interval;
        self.settings.live_timeout = silence;
    }

    /// Returns the time between two messages of a peer.
    #[must_use]
    pub const fn interval(&self) -> Duration {
        self.settings.interval
    }

    /// Takes a message. Returns whether it is newer than the last one.
    pub fn record(&mut self, now: Time, update: PeerUpdate) -> bool {
        if let Some(known) = self.peers.get(&update.node) {
            let same_run = known.update.incarnation == update.incarnation;
            if same_run && known.update.sequence >= update.sequence {
                return false;
            }
        }
        self.peers.insert(
            update.node.clone(),
            Peer {
                update,
                received: now,
            },
        );
        true
    }

    /// Returns the peers that are alive.
    pub fn live(&self, now: Time) -> impl Iterator<Item = &Peer> {
        let silence = self.settings.live_timeout;
        let all = self.peers.values();
        all.filter(move |p| now.since(p.received) < silence)
    }

    /// Returns the number of entries, with this one, that may have work at endpoints.
    #[must_use]
    pub fn entry_count(&self, now: Time) -> usize {
        let recent = |p: &&Peer| now.since(p.received) < self.settings.forget_timeout;
        1 + self.peers.values().filter(recent).count()
    }

    /// Returns what the peers together have in flight at an endpoint.
    #[must_use]
    pub fn load(&self, now: Time, key: u32) -> (u32, u32) {
        let loads = self.live(now).flat_map(|p| &p.update.loads);
        let here = loads.filter(|l| l.key == key);
        here.fold((0, 0), |sum, l| {
            (sum.0 + l.requests, sum.1 + l.prefill_tokens)
        })
    }

    /// Returns the factor by which a head is slower than published, as the peers say.
    #[must_use]
    pub fn slowdown(&self, now: Time, key: u32) -> f64 {
        let slow = self.live(now).flat_map(|p| &p.update.slow);
        let here = slow.filter(|s| s.key == key).map(|s| s.slowdown);
        here.fold(1.0, f64::max)
    }

    /// Returns whether this entry should plan groups. Of the live entries that
    /// are in touch with the store, the one that plans already goes on; of several,
    /// the one with the most processor time and then the lowest name.
    #[must_use]
    pub fn may_plan(&self, now: Time, own: (&str, u32), in_touch: bool, planning: bool) -> bool {
        let mut rivals = self.live(now).filter(|p| p.update.synced && p.update.ready);
        let goes_first = |p: &Peer| match (p.update.planning, planning) {
            (true, false) => true,
            (false, true) => false,
            _ => (Reverse(p.update.cpu_milli), &*p.update.node) < (Reverse(own.1), own.0),
        };
        in_touch && !rivals.any(goes_first)
    }

    /// Forgets peers that have been silent for long. Returns their names.
    pub fn remove_stale(&mut self, now: Time) -> Vec<Name> {
        let limit = self.settings.forget_timeout;
        let old = self
            .peers
            .iter()
            .filter(|(_, p)| now.since(p.received) >= limit);
        let old: Vec<Name> = old.map(|(name, _)| name.clone()).collect();
        for name in &old {
            self.peers.remove(name);
        }
        old
    }
}
