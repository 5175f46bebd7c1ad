//! Datagrams by which the entries exchange loads, suspicions and liveness.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bulrushhoist_core::Fingerprint;
use bulrushhoist_fleet::{EndpointLoad, Name, PeerUpdate, SlowLeader, Suspicion};
use prost::Message as _;
use slog::{info, warn};
use tokio::net::UdpSocket;

use crate::node::Node;
use crate::state::Phase;

/// Interval of messages to every peer in a small deployment.
const MIN_PUBLISH_INTERVAL: Duration = Duration::from_millis(200);
/// Minimum interval for each peer in a large deployment, which bounds the number of
/// messages that an entry sends per second.
const PUBLISH_INTERVAL_PER_PEER: Duration = Duration::from_millis(8);
/// Intervals without a message after which a peer counts as silent.
const MISSED_MESSAGES_LIMIT: u32 = 4;
/// Maximum age of the store's last answer at which an entry may plan or be followed.
pub(crate) const MAX_STORE_AGE: Duration = Duration::from_millis(2_500);
/// Maximum size of a datagram.
const MAX_DATAGRAM_BYTES: usize = 8 * 1_024;
/// Maximum number of strikes in one message.
const MAX_STRIKES_PER_MESSAGE: usize = 32;

/// An [`EndpointLoad`] on the wire.
#[derive(Clone, PartialEq, prost::Message)]
struct LoadMessage {
    #[prost(fixed32, tag = "1")]
    key: u32,
    #[prost(uint32, tag = "2")]
    requests: u32,
    #[prost(uint32, tag = "3")]
    prefill_tokens: u32,
}

/// A [`Suspicion`] on the wire.
#[derive(Clone, PartialEq, prost::Message)]
struct SuspicionMessage {
    #[prost(string, tag = "1")]
    endpoint: String,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
}

/// A [`SlowLeader`] on the wire.
#[derive(Clone, PartialEq, prost::Message)]
struct SlowMessage {
    #[prost(fixed32, tag = "1")]
    key: u32,
    /// The slowdown in percent.
    #[prost(uint32, tag = "2")]
    percent: u32,
}

/// A strike against a request on the wire. Strikes at the same incident count once.
#[derive(Clone, PartialEq, prost::Message)]
struct StrikeMessage {
    #[prost(fixed64, tag = "1")]
    fingerprint: u64,
    #[prost(fixed64, tag = "2")]
    incident: u64,
}

/// A [`PeerUpdate`] on the wire.
#[derive(Clone, PartialEq, prost::Message)]
struct UpdateMessage {
    #[prost(string, tag = "1")]
    node: String,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
    #[prost(uint64, tag = "3")]
    sequence: u64,
    #[prost(string, tag = "4")]
    caller_address: String,
    #[prost(bool, tag = "5")]
    ready: bool,
    #[prost(bool, tag = "6")]
    synced: bool,
    #[prost(message, repeated, tag = "7")]
    loads: Vec<LoadMessage>,
    #[prost(message, repeated, tag = "8")]
    suspects: Vec<SuspicionMessage>,
    #[prost(message, repeated, tag = "9")]
    strikes: Vec<StrikeMessage>,
    #[prost(bool, tag = "10")]
    planning: bool,
    #[prost(uint32, tag = "11")]
    cpu_milli: u32,
    #[prost(message, repeated, tag = "12")]
    slow: Vec<SlowMessage>,
}

impl UpdateMessage {
    fn into_update(self) -> Option<PeerUpdate> {
        Some(PeerUpdate {
            node: self.node.into(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            caller_address: self.caller_address.parse().ok()?,
            cpu_milli: self.cpu_milli,
            ready: self.ready,
            synced: self.synced,
            planning: self.planning,
            loads: self.loads.into_iter().map(EndpointLoad::from).collect(),
            suspects: self.suspects.into_iter().map(Suspicion::from).collect(),
            slow: self.slow.into_iter().map(SlowLeader::from).collect(),
            strikes: self
                .strikes
                .into_iter()
                .map(|s| (Fingerprint::from(s.fingerprint), s.incident))
                .collect(),
        })
    }
}

impl From<LoadMessage> for EndpointLoad {
    fn from(message: LoadMessage) -> Self {
        Self {
            key: message.key,
            requests: message.requests,
            prefill_tokens: message.prefill_tokens,
        }
    }
}

impl From<SlowMessage> for SlowLeader {
    fn from(message: SlowMessage) -> Self {
        Self {
            key: message.key,
            slowdown: f64::from(message.percent) / 100.0,
        }
    }
}

impl From<SuspicionMessage> for Suspicion {
    fn from(message: SuspicionMessage) -> Self {
        Self {
            endpoint: message.endpoint.into(),
            incarnation: message.incarnation,
        }
    }
}

/// The socket for datagrams and the addresses of the other entries.
pub(crate) struct PeerSocket {
    socket: UdpSocket,
    addresses: RefCell<BTreeMap<Name, SocketAddr>>,
    incarnation: u64,
    sequence: Cell<u64>,
}

impl PeerSocket {
    pub(crate) async fn bind(address: SocketAddr, incarnation: u64) -> io::Result<Self> {
        Ok(Self {
            socket: UdpSocket::bind(address).await?,
            addresses: RefCell::default(),
            incarnation,
            sequence: Cell::new(0),
        })
    }

    /// Sets or removes the address of another entry. Returns the number of entries known.
    pub(crate) fn set_peer(&self, node: Name, address: Option<SocketAddr>) -> usize {
        let mut addresses = self.addresses.borrow_mut();
        match address {
            Some(address) => addresses.insert(node, address),
            None => addresses.remove(&node),
        };
        addresses.len()
    }

    /// Returns the address at which a peer receives datagrams. Its relay listens on the
    /// same address and port, for TCP.
    pub(crate) fn address_of(&self, node: &str) -> Option<SocketAddr> {
        self.addresses.borrow().get(node).copied()
    }

    /// Sends this entry's update to every peer.
    pub(crate) fn publish(&self, node: &Node) {
        let sequence = self.sequence.get() + 1;
        self.sequence.set(sequence);
        let message = build_update(node, self.incarnation, sequence);
        let mut bytes = message.encode_to_vec();
        bytes.truncate(MAX_DATAGRAM_BYTES);
        for address in self.addresses.borrow().values() {
            // A lost datagram does no harm: the next one replaces it.
            let _ = self.socket.try_send_to(&bytes, *address);
        }
    }

    /// Returns the interval of messages to every peer.
    fn interval(&self) -> Duration {
        let peers = u32::try_from(self.addresses.borrow().len()).unwrap_or(u32::MAX);
        MIN_PUBLISH_INTERVAL.max(PUBLISH_INTERVAL_PER_PEER * peers)
    }
}

/// Builds the update that this entry sends to its peers.
fn build_update(node: &Node, incarnation: u64, sequence: u64) -> UpdateMessage {
    let now = node.now();
    let loads = node.own_loads().into_iter();
    let suspects = node.recent_suspicions().into_iter();
    let slow = node.slow_leaders().into_iter();
    let ready = node.is_ready();
    let state = node.state.borrow();
    let strikes = state.quarantine.suspects(MAX_STRIKES_PER_MESSAGE);
    let strikes = strikes.flat_map(|(fingerprint, incidents)| {
        incidents.iter().map(move |incident| StrikeMessage {
            fingerprint: fingerprint.get(),
            incident: *incident,
        })
    });
    UpdateMessage {
        node: node.settings.node.to_string(),
        incarnation,
        sequence,
        caller_address: node.settings.listen.callers.to_string(),
        ready,
        cpu_milli: node.settings.cpu_milli,
        synced: state.has_store_contact(now, MAX_STORE_AGE),
        planning: state.planning,
        loads: loads
            .map(|l| LoadMessage {
                key: l.key,
                requests: l.requests,
                prefill_tokens: l.prefill_tokens,
            })
            .collect(),
        suspects: suspects
            .map(|s| SuspicionMessage {
                endpoint: s.endpoint.to_string(),
                incarnation: s.incarnation,
            })
            .collect(),
        slow: slow
            .map(|s| SlowMessage {
                key: s.key,
                percent: (s.slowdown * 100.0) as u32,
            })
            .collect(),
        strikes: strikes.take(MAX_STRIKES_PER_MESSAGE).collect(),
    }
}

/// Returns whether this entry is the one that should plan groups now.
pub(crate) fn may_plan(node: &Node) -> bool {
    let now = node.now();
    let state = node.state.borrow();
    let serving = state.phase == Phase::Serving;
    let synced = state.has_store_contact(now, MAX_STORE_AGE);
    let own = (&*node.settings.node, node.settings.cpu_milli);
    serving && state.peers.may_plan(now, own, synced, state.planning)
}

/// Returns the interval in which every live peer sends a message.
pub(crate) fn peer_interval(node: &Node) -> Duration {
    node.state.borrow().peers.interval()
}

/// Returns whether a live and ready peer is known that is in contact with the store.
pub(crate) fn has_relay(node: &Node) -> bool {
    let state = node.state.borrow();
    let mut live = state.peers.live(node.now());
    live.any(|p| p.update.synced && p.update.ready)
}

/// Sends this entry's update at regular intervals, and forgets silent peers.
pub(crate) async fn publish_periodically(node: Rc<Node>, socket: Rc<PeerSocket>) {
    loop {
        socket.publish(&node);
        let lost = node.state.borrow_mut().peers.remove_stale(node.now());
        for peer in lost {
            info!(node.log, "peer forgotten"; "peer" => &*peer);
        }
        let interval = socket.interval();
        let silence_timeout = interval * MISSED_MESSAGES_LIMIT;
        node.state
            .borrow_mut()
            .peers
            .set_interval(interval, silence_timeout);
        tokio::time::sleep(interval).await;
    }
}

/// Receives the updates of the other entries.
pub(crate) async fn listen(node: Rc<Node>, socket: Rc<PeerSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let received = socket.socket.recv_from(&mut buffer).await;
        let Ok((length, from)) = received else {
            // An ICMP error for a datagram that was sent earlier; nothing was received.
            continue;
        };
        let message = UpdateMessage::decode(&buffer[..length]);
        match message.ok().and_then(UpdateMessage::into_update) {
            Some(update) => apply_update(&node, update),
            None => warn!(node.log, "datagram not understood"; "from" => %from, "bytes" => length),
        }
    }
}

/// Applies an update of a peer to the state.
fn apply_update(node: &Node, update: PeerUpdate) {
    let now = node.now();
    let mut newly_suspected = false;
    let mut state = node.state.borrow_mut();
    let state = &mut *state;
    state.traffic_seen |= !update.loads.is_empty();
    for suspicion in &update.suspects {
        let known = state.roster.get(&suspicion.endpoint);
        if known.is_some_and(|e| e.incarnation == suspicion.incarnation) {
            newly_suspected |=
                state
                    .monitor
                    .on_failure(now, &suspicion.endpoint, suspicion.incarnation);
        }
    }
    for (fingerprint, incident) in &update.strikes {
        state.quarantine.strike(now, *fingerprint, *incident);
    }
    let new = state.peers.live(now).all(|p| p.update.node != update.node);
    if new {
        info!(node.log, "peer heard"; "peer" => &*update.node, "incarnation" => update.incarnation, "ready" => update.ready);
    }
    state.peers.record(now, update);
    if newly_suspected {
        node.planner_wake.notify_one();
    }
}
