//! Datagrams between the entries.

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

/// Time between two messages to every peer, for a few peers.
const INTERVAL: Duration = Duration::from_millis(200);
/// Additional time for each peer, which bounds the messages per second.
const INTERVAL_PER_PEER: Duration = Duration::from_millis(8);
/// Messages in a row that must be missing before a peer counts as silent.
const SILENT_INTERVALS: u32 = 4;
/// Age of the store's last answer up to which an entry may plan.
pub(crate) const STORE_TOUCH: Duration = Duration::from_millis(2_500);
/// Bytes of a datagram at most.
const DATAGRAM_BYTES: usize = 8 * 1_024;
/// Strikes that one message carries at most.
const STRIKES_PER_MESSAGE: usize = 32;

#[derive(Clone, PartialEq, prost::Message)]
struct LoadMessage {
    #[prost(fixed32, tag = "1")]
    key: u32,
    #[prost(uint32, tag = "2")]
    requests: u32,
    #[prost(uint32, tag = "3")]
    unread: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
struct SuspicionMessage {
    #[prost(string, tag = "1")]
    endpoint: String,
    #[prost(uint64, tag = "2")]
    born: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct SlowMessage {
    #[prost(fixed32, tag = "1")]
    key: u32,
    /// Hundredths of the factor.
    #[prost(uint32, tag = "2")]
    percent: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
struct StrikeMessage {
    #[prost(fixed64, tag = "1")]
    fingerprint: u64,
    #[prost(fixed64, tag = "2")]
    incident: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct NewsMessage {
    #[prost(string, tag = "1")]
    node: String,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
    #[prost(uint64, tag = "3")]
    sequence: u64,
    #[prost(string, tag = "4")]
    front: String,
    #[prost(bool, tag = "5")]
    ready: bool,
    #[prost(bool, tag = "6")]
    in_touch: bool,
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

impl NewsMessage {
    fn decode_news(self) -> Option<PeerUpdate> {
        Some(PeerUpdate {
            node: self.node.into(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            caller_address: self.front.parse().ok()?,
            cpu_milli: self.cpu_milli,
            ready: self.ready,
            synced: self.in_touch,
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
            prefill_tokens: message.unread,
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
            born: message.born,
        }
    }
}

/// The socket and the addresses of the other entries.
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

    /// Takes the address of another entry, or its removal. Returns how many there are.
    pub(crate) fn set_peer(&self, node: Name, address: Option<SocketAddr>) -> usize {
        let mut addresses = self.addresses.borrow_mut();
        match address {
            Some(address) => addresses.insert(node, address),
            None => addresses.remove(&node),
        };
        addresses.len()
    }

    /// Returns where a peer takes datagrams; its relay has the same address.
    pub(crate) fn address_of(&self, node: &str) -> Option<SocketAddr> {
        self.addresses.borrow().get(node).copied()
    }

    /// Sends this entry's news to every peer.
    pub(crate) fn publish(&self, node: &Node) {
        let sequence = self.sequence.get() + 1;
        self.sequence.set(sequence);
        let message = news(node, self.incarnation, sequence);
        let mut bytes = message.encode_to_vec();
        bytes.truncate(DATAGRAM_BYTES);
        for address in self.addresses.borrow().values() {
            // A datagram that can't be sent now is replaced by the next.
            let _ = self.socket.try_send_to(&bytes, *address);
        }
    }

    /// Returns the time between two messages to every peer.
    fn interval(&self) -> Duration {
        let peers = u32::try_from(self.addresses.borrow().len()).unwrap_or(u32::MAX);
        INTERVAL.max(INTERVAL_PER_PEER * peers)
    }
}

fn news(node: &Node, incarnation: u64, sequence: u64) -> NewsMessage {
    let now = node.now();
    let loads = node.load_news().into_iter();
    let suspects = node.suspicion_news().into_iter();
    let slow = node.slow_news().into_iter();
    let ready = node.is_ready();
    let state = node.state.borrow();
    let strikes = state.quarantine.suspects(STRIKES_PER_MESSAGE);
    let strikes = strikes.flat_map(|(fingerprint, incidents)| {
        incidents.iter().map(move |incident| StrikeMessage {
            fingerprint: fingerprint.get(),
            incident: *incident,
        })
    });
    NewsMessage {
        node: node.settings.node.to_string(),
        incarnation,
        sequence,
        front: node.settings.listen.front.to_string(),
        ready,
        cpu_milli: node.settings.cpu_milli,
        in_touch: state.in_touch(now, STORE_TOUCH),
        planning: state.planning,
        loads: loads
            .map(|l| LoadMessage {
                key: l.key,
                requests: l.requests,
                unread: l.prefill_tokens,
            })
            .collect(),
        suspects: suspects
            .map(|s| SuspicionMessage {
                endpoint: s.endpoint.to_string(),
                born: s.born,
            })
            .collect(),
        slow: slow
            .map(|s| SlowMessage {
                key: s.key,
                percent: (s.slowdown * 100.0) as u32,
            })
            .collect(),
        strikes: strikes.take(STRIKES_PER_MESSAGE).collect(),
    }
}

/// Returns whether this entry should plan groups now.
pub(crate) fn may_plan(node: &Node) -> bool {
    let now = node.now();
    let state = node.state.borrow();
    let serving = state.phase == Phase::Serving;
    let in_touch = state.in_touch(now, STORE_TOUCH);
    let own = (&*node.settings.node, node.settings.cpu_milli);
    serving && state.peers.may_plan(now, own, in_touch, state.planning)
}

/// Returns the time in which every live peer makes itself heard.
pub(crate) fn hearing_time(node: &Node) -> Duration {
    node.state.borrow().peers.interval()
}

/// Returns whether a peer was heard that is in touch with the store.
pub(crate) fn knows_relay(node: &Node) -> bool {
    let state = node.state.borrow();
    let mut live = state.peers.live(node.now());
    live.any(|p| p.update.synced && p.update.ready)
}

/// Sends this entry's news regularly.
pub(crate) async fn publish_regularly(node: Rc<Node>, socket: Rc<PeerSocket>) {
    loop {
        socket.publish(&node);
        let lost = node.state.borrow_mut().peers.remove_stale(node.now());
        for peer in lost {
            info!(node.log, "peer forgotten"; "peer" => &*peer);
        }
        let interval = socket.interval();
        let silence = interval * SILENT_INTERVALS;
        node.state
            .borrow_mut()
            .peers
            .set_interval(interval, silence);
        tokio::time::sleep(interval).await;
    }
}

/// Takes the other entries' news.
pub(crate) async fn listen(node: Rc<Node>, socket: Rc<PeerSocket>) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        let received = socket.socket.recv_from(&mut buffer).await;
        let Ok((length, from)) = received else {
            // An earlier datagram was refused by its receiver; nothing is lost.
            continue;
        };
        let message = NewsMessage::decode(&buffer[..length]);
        match message.ok().and_then(NewsMessage::decode_news) {
            Some(news) => hear(&node, news),
            None => warn!(node.log, "datagram not understood"; "from" => %from, "bytes" => length),
        }
    }
}

fn hear(node: &Node, news: PeerUpdate) {
    let now = node.now();
    let mut woken = false;
    let mut state = node.state.borrow_mut();
    let state = &mut *state;
    state.in_traffic |= !news.loads.is_empty();
    for suspicion in &news.suspects {
        let known = state.roster.get(&suspicion.endpoint);
        if known.is_some_and(|e| e.born == suspicion.born) {
            woken |= state
                .monitor
                .on_failure(now, &suspicion.endpoint, suspicion.born);
        }
    }
    for (fingerprint, incident) in &news.strikes {
        state.quarantine.strike(now, *fingerprint, *incident);
    }
    let new = state.peers.live(now).all(|p| p.update.node != news.node);
    if new {
        info!(node.log, "peer heard"; "peer" => &*news.node, "incarnation" => news.incarnation, "ready" => news.ready);
    }
    state.peers.record(now, news);
    if woken {
        node.planner_wake.notify_one();
    }
}
