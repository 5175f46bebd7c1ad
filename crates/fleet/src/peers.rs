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
    pub silence: Duration,
    /// Silence after which its requests at endpoints can't go on.
    pub forget: Duration,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(200),
            silence: Duration::from_millis(1_100),
            forget: Duration::from_secs(10),
        }
    }
}

/// What one entry has in flight at one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct HeadLoad {
    /// Short hash of the endpoint's name.
    pub key: u32,
    /// Requests in flight.
    pub requests: u32,
    /// Prompt tokens of requests without a first event.
    pub unread: u32,
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
pub struct SlowHead {
    /// Short hash of the head's name.
    pub key: u32,
    /// Factor by which it is slower.
    pub factor: f64,
}

/// One message of a peer.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerNews {
    /// Name of the peer's VM.
    pub node: Name,
    /// Run of the peer's process.
    pub incarnation: u64,
    /// Number of the message within the run.
    pub sequence: u64,
    /// Where callers reach it.
    pub front: SocketAddr,
    /// Processor time that it may use, in thousandths of a core.
    pub cpu_milli: u32,
    /// Whether it takes callers.
    pub ready: bool,
    /// Whether what it knows of the store is complete and new.
    pub in_touch: bool,
    /// Whether it plans groups.
    pub planning: bool,
    /// What it has in flight.
    pub loads: Vec<HeadLoad>,
    /// Endpoints that failed or stalled a moment ago.
    pub suspects: Vec<Suspicion>,
    /// Slow heads, as the entry sees them that plans and probes.
    pub slow: Vec<SlowHead>,
    /// Requests that endpoints were lost with, and the lost incarnations.
    pub strikes: Vec<(Fingerprint, u64)>,
}

/// A peer and its last message.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The last message.
    pub news: PeerNews,
    /// When it came.
    pub heard: Time,
}

/// The peers that were heard of.
#[derive(Debug, Default)]
pub struct PeerBook {
    settings: PeerSettings,
    peers: HashMap<Name, Peer>,
}

impl PeerBook {
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
        self.settings.silence = silence;
    }

    /// Returns the time between two messages of a peer.
    #[must_use]
    pub const fn interval(&self) -> Duration {
        self.settings.interval
    }

    /// Takes a message. Returns whether it is newer than the last one.
    pub fn hear(&mut self, now: Time, news: PeerNews) -> bool {
        if let Some(known) = self.peers.get(&news.node) {
            let same_run = known.news.incarnation == news.incarnation;
            if same_run && known.news.sequence >= news.sequence {
                return false;
            }
        }
        self.peers
            .insert(news.node.clone(), Peer { news, heard: now });
        true
    }

    /// Returns the peers that are alive.
    pub fn live(&self, now: Time) -> impl Iterator<Item = &Peer> {
        let silence = self.settings.silence;
        let all = self.peers.values();
        all.filter(move |p| now.since(p.heard) < silence)
    }

    /// Returns the number of entries, with this one, that may have work at endpoints.
    #[must_use]
    pub fn entries(&self, now: Time) -> usize {
        let recent = |p: &&Peer| now.since(p.heard) < self.settings.forget;
        1 + self.peers.values().filter(recent).count()
    }

    /// Returns what the peers together have in flight at an endpoint.
    #[must_use]
    pub fn load(&self, now: Time, key: u32) -> (u32, u32) {
        let loads = self.live(now).flat_map(|p| &p.news.loads);
        let here = loads.filter(|l| l.key == key);
        here.fold((0, 0), |sum, l| (sum.0 + l.requests, sum.1 + l.unread))
    }

    /// Returns the factor by which a head is slower than published, as the peers say.
    #[must_use]
    pub fn slowness(&self, now: Time, key: u32) -> f64 {
        let slow = self.live(now).flat_map(|p| &p.news.slow);
        let here = slow.filter(|s| s.key == key).map(|s| s.factor);
        here.fold(1.0, f64::max)
    }

    /// Returns whether this entry should plan groups. Of the live entries that
    /// are in touch with the store, the one that plans already goes on; of several,
    /// the one with the most processor time and then the lowest name.
    #[must_use]
    pub fn may_plan(&self, now: Time, own: (&str, u32), in_touch: bool, planning: bool) -> bool {
        let mut rivals = self.live(now).filter(|p| p.news.in_touch && p.news.ready);
        let goes_first = |p: &Peer| match (p.news.planning, planning) {
            (true, false) => true,
            (false, true) => false,
            _ => (Reverse(p.news.cpu_milli), &*p.news.node) < (Reverse(own.1), own.0),
        };
        in_touch && !rivals.any(goes_first)
    }

    /// Forgets peers that have been silent for long. Returns their names.
    pub fn forget_old(&mut self, now: Time) -> Vec<Name> {
        let limit = self.settings.forget;
        let old = self
            .peers
            .iter()
            .filter(|(_, p)| now.since(p.heard) >= limit);
        let old: Vec<Name> = old.map(|(name, _)| name.clone()).collect();
        for name in &old {
            self.peers.remove(name);
        }
        old
    }
}
