//! Updates that the entries send each other a few times a second.
//!
//! Several entries would send to the same idle leader if each knew only its own
//! requests, so each adds what the others report to have in flight. The same updates
//! carry the liveness of entries for the callers' directory, suspicions against
//! endpoints, and which entry plans groups.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bulrushhoist_core::{Fingerprint, Time};

use crate::Name;

/// Interval of updates, and timeouts of peers that send none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// Time between two updates of a peer.
    pub interval: Duration,
    /// Time without updates after which a peer counts as dead: it is no longer named to
    /// callers, and its load no longer counts.
    pub live_timeout: Duration,
    /// Time without updates after which a peer is removed, because its requests at
    /// endpoints must have ended.
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
    /// Prompt tokens of the requests whose first event hasn't come yet.
    pub prefill_tokens: u32,
}

/// An endpoint at which another entry saw a failure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspicion {
    /// Name of the endpoint.
    pub endpoint: Name,
    /// Its incarnation.
    pub incarnation: u64,
}

/// A leader whose group is slower than published.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowLeader {
    /// Short hash of the leader's name.
    pub key: u32,
    /// Factor by which its group is slower.
    pub slowdown: f64,
}

/// One update of a peer. It replaces the peer's last one.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerUpdate {
    /// Name of the peer's VM.
    pub node: Name,
    /// Identifies the run of the peer's process.
    pub incarnation: u64,
    /// Number of the update within the run.
    pub sequence: u64,
    /// Address at which callers reach the peer.
    pub caller_address: SocketAddr,
    /// Processor time that the peer may use, in thousandths of a core.
    pub cpu_milli: u32,
    /// Whether it accepts callers.
    pub ready: bool,
    /// Whether its copy of the store is complete and current.
    pub synced: bool,
    /// Whether it plans groups.
    pub planning: bool,
    /// What it has in flight at each endpoint.
    pub loads: Vec<EndpointLoad>,
    /// Endpoints at which its requests failed or stalled recently.
    pub suspects: Vec<Suspicion>,
    /// Slow leaders. Only the entry that plans, and so probes members, reports them.
    pub slow: Vec<SlowLeader>,
    /// Requests that were running at endpoints when these were lost, each with a hash that
    /// identifies the lost incarnation.
    pub strikes: Vec<(Fingerprint, u64)>,
}

/// A peer and its last update.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The last update.
    pub update: PeerUpdate,
    /// When it was received.
    pub received: Time,
}

/// The other entries that sent updates.
#[derive(Debug, Default)]
pub struct PeerTable {
    settings: PeerSettings,
    peers: HashMap<Name, Peer>,
}

impl PeerTable {
    /// Creates a table without peers.
    #[must_use]
    pub fn new(settings: PeerSettings) -> Self {
        Self {
            settings,
            peers: HashMap::new(),
        }
    }

    /// Sets the time between two updates of a peer, and the time without updates after
    /// which a peer counts as dead.
    pub fn set_interval(&mut self, interval: Duration, live_timeout: Duration) {
        self.settings.interval = interval;
        self.settings.live_timeout = live_timeout;
    }

    /// Returns the time between two updates of a peer.
    #[must_use]
    pub const fn interval(&self) -> Duration {
        self.settings.interval
    }

    /// Records an update. Returns whether it is newer than the peer's last one.
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
        let timeout = self.settings.live_timeout;
        let all = self.peers.values();
        all.filter(move |p| now.since(p.received) < timeout)
    }

    /// Returns the number of entries, including this one, that may have requests at
    /// endpoints.
    #[must_use]
    pub fn entry_count(&self, now: Time) -> usize {
        let recent = |p: &&Peer| now.since(p.received) < self.settings.forget_timeout;
        1 + self.peers.values().filter(recent).count()
    }

    /// Returns the requests and the prompt tokens that all live peers together have in
    /// flight at an endpoint.
    #[must_use]
    pub fn load(&self, now: Time, key: u32) -> (u32, u32) {
        let loads = self.live(now).flat_map(|p| &p.update.loads);
        let here = loads.filter(|l| l.key == key);
        here.fold((0, 0), |sum, l| {
            (sum.0 + l.requests, sum.1 + l.prefill_tokens)
        })
    }

    /// Returns the factor by which a leader is slower than published, as peers report it.
    #[must_use]
    pub fn slowdown(&self, now: Time, key: u32) -> f64 {
        let slow = self.live(now).flat_map(|p| &p.update.slow);
        let here = slow.filter(|s| s.key == key).map(|s| s.slowdown);
        here.fold(1.0, f64::max)
    }

    /// Returns whether this entry should plan groups. `own` is its name and its processor
    /// time in thousandths of a core.
    ///
    /// Of the live entries that are ready and synced with the store, one that plans already
    /// goes on. If several or none do, the one with the most processor time plans, and of
    /// equals the one with the lowest name.
    #[must_use]
    pub fn may_plan(&self, now: Time, own: (&str, u32), synced: bool, planning: bool) -> bool {
        let mut rivals = self.live(now).filter(|p| p.update.synced && p.update.ready);
        let has_precedence = |p: &Peer| match (p.update.planning, planning) {
            (true, false) => true,
            (false, true) => false,
            _ => (Reverse(p.update.cpu_milli), &*p.update.node) < (Reverse(own.1), own.0),
        };
        synced && !rivals.any(has_precedence)
    }

    /// Removes the peers whose last update is older than the forget timeout. Returns
    /// their names.
    pub fn remove_stale(&mut self, now: Time) -> Vec<Name> {
        let timeout = self.settings.forget_timeout;
        let stale = self
            .peers
            .iter()
            .filter(|(_, p)| now.since(p.received) >= timeout);
        let stale: Vec<Name> = stale.map(|(name, _)| name.clone()).collect();
        for name in &stale {
            self.peers.remove(name);
        }
        stale
    }
}
