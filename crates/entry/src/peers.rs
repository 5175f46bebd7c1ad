//! Datagrams by which the entries exchange loads, suspicions and liveness.
//!
//! Which message goes to whom is decided by [`Membership`]; this module owns the socket
//! and the timer. See `docs/decisions/0011-hundreds-of-entries.md`.
//!
//! [`Membership`]: bulrushhoist_fleet::Membership

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bulrushhoist_core::Time;
use bulrushhoist_fleet::{EntryStatus, News, OwnNews, Report, Sender, name_key};
use slog::{info, warn};
use tokio::net::UdpSocket;

use crate::metrics::ByteCause;
use crate::node::Node;
use crate::peer_messages::{self, PeerMessage};
use crate::state::Phase;

/// Maximum size of a datagram. It has room for the longest lists of a message.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 24 * 1_024;
/// Maximum number of names in one log line.
const MAX_LOGGED_NAMES: usize = 8;
/// Minimum time between two log lines about datagrams that aren't understood.
const BAD_DATAGRAM_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// The socket for datagrams.
pub(crate) struct PeerSocket {
    socket: UdpSocket,
    incarnation: u64,
    sequence: Cell<u64>,
    bad_logged: Cell<Option<Time>>,
}

impl PeerSocket {
    pub(crate) fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = std::net::UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        Ok(Self {
            socket: UdpSocket::from_std(socket)?,
            incarnation: rand::random(),
            sequence: Cell::new(0),
            bad_logged: Cell::new(None),
        })
    }

    pub(crate) const fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Sends the messages that are due.
    pub(crate) fn publish(&self, node: &Node) {
        let now = node.now();
        let outgoing = node.state.borrow_mut().peers.tick(now);
        if !outgoing.departed.is_empty() {
            let names = outgoing.departed.iter().take(MAX_LOGGED_NAMES);
            let names: Vec<&str> = names.map(|n| &**n).collect();
            info!(node.log, "peers silent"; "count" => outgoing.departed.len(), "peers" => names.join(","));
        }
        let sequence = self.sequence.get() + 1;
        self.sequence.set(sequence);
        let sender = Sender {
            key: name_key(&node.settings.node),
            incarnation: self.incarnation,
            sequence,
        };
        let own = own_news(node);
        for recipient in outgoing.reports {
            let report = Report {
                sender,
                status: own.status,
                digests: recipient.digests,
                known_entries: recipient.known_entries,
                news: own.news.clone(),
            };
            let bytes = peer_messages::encode_report(&report);
            self.send(node, ByteCause::Report, &bytes, recipient.address);
        }
        for (key, address) in outgoing.digests {
            let digest = node.state.borrow().peers.digest(now, key, sender, &own);
            let bytes = peer_messages::encode_digest(&digest);
            self.send(node, ByteCause::Digest, &bytes, address);
        }
        if outgoing.summaries.is_empty() {
            return;
        }
        let summary = node.state.borrow().peers.summary(sender, &own);
        let bytes = peer_messages::encode_digest(&summary);
        for address in outgoing.summaries {
            self.send(node, ByteCause::Summary, &bytes, address);
        }
    }

    fn send(&self, node: &Node, cause: ByteCause, bytes: &[u8], address: SocketAddr) {
        node.metrics.on_bytes(cause, bytes.len());
        // A lost datagram does no harm: the next one replaces it.
        let _ = self.socket.try_send_to(bytes, address);
    }

    /// Counts a datagram that isn't understood, and logs some of them.
    fn reject(&self, node: &Node, from: SocketAddr, length: usize) {
        node.metrics.on_bad_datagram();
        let now = node.now();
        let logged = self.bad_logged.get();
        if logged.is_none_or(|t| now.since(t) >= BAD_DATAGRAM_LOG_INTERVAL) {
            self.bad_logged.set(Some(now));
            warn!(node.log, "datagram not understood"; "from" => %from, "bytes" => length);
        }
    }
}

/// Returns this entry's status.
fn own_status(node: &Node) -> EntryStatus {
    let ready = node.is_ready();
    let now = node.now();
    let state = node.state.borrow();
    EntryStatus {
        key: name_key(&node.settings.node),
        ready,
        synced: state.is_synced(now) && !state.endpoint_contact.is_cut_off(),
        planning: state.planning,
        reaches_store: state.contact.reaches_store(now),
        cut_off: state.endpoint_contact.is_cut_off(),
    }
}

/// Returns what this entry reports.
fn own_news(node: &Node) -> OwnNews {
    let status = own_status(node);
    let loads = node.own_loads();
    let suspects = node.recent_suspicions();
    let slow = node.slow_leaders();
    let now = node.now();
    let mut state = node.state.borrow_mut();
    let crashes = state.quarantine.reports(now);
    let answers = state.quarantine.answers(now);
    let limits = state.limits.announcements(now);
    drop(state);
    node.report_verdicts();
    let mut news = News {
        loads,
        suspects,
        slow,
        crashes,
        answers,
        departures: node.recent_departures(),
        limits,
    };
    news.limit();
    OwnNews { status, news }
}

/// Returns whether this entry is the one that should plan groups now.
pub(crate) fn may_plan(node: &Node) -> bool {
    let status = own_status(node);
    let state = node.state.borrow();
    state.phase == Phase::Serving && state.peers.may_plan(node.now(), status)
}

/// Returns the time in which a message of any live entry arrives.
pub(crate) fn takeover_delay(node: &Node) -> Duration {
    node.state.borrow().peers.view_age() * 2
}

/// Sends the messages that are due, at regular intervals.
pub(crate) async fn publish_periodically(node: Rc<Node>, socket: Rc<PeerSocket>) {
    loop {
        socket.publish(&node);
        let interval = node.state.borrow().peers.tick_interval();
        tokio::time::sleep(interval).await;
    }
}

/// Receives the messages of the other entries.
pub(crate) async fn listen(node: Rc<Node>, socket: Rc<PeerSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let received = socket.socket.recv_from(&mut buffer).await;
        let Ok((length, from)) = received else {
            // An ICMP error for a datagram that was sent earlier; nothing was received.
            continue;
        };
        match peer_messages::decode(&buffer[..length]) {
            Some(message) => apply(&node, message),
            None => socket.reject(&node, from, length),
        }
    }
}

/// Applies a message to the state.
fn apply(node: &Node, message: PeerMessage) {
    let now = node.now();
    let mut newly_suspected = false;
    let mut borrowed = node.state.borrow_mut();
    let state = &mut *borrowed;
    let news = match &message {
        PeerMessage::Report(report) => &report.news,
        PeerMessage::Digest(digest) => &digest.news,
    };
    let departures = news.departures.clone();
    let limits = news.limits.clone();
    state.traffic_seen |= !news.loads.is_empty();
    for suspicion in &news.suspects {
        let known = state.roster.get(&suspicion.endpoint);
        if known.is_some_and(|e| e.incarnation == suspicion.incarnation) {
            newly_suspected |=
                state
                    .monitor
                    .on_failure(now, &suspicion.endpoint, suspicion.incarnation);
        }
    }
    state.quarantine.merge(now, &news.crashes, &news.answers);
    match message {
        PeerMessage::Report(report) => state.peers.on_report(now, report),
        PeerMessage::Digest(digest) => state.peers.on_digest(now, digest),
    };
    drop(borrowed);
    node.report_verdicts();
    for departure in &departures {
        node.on_departure(departure);
    }
    for limit in &limits {
        node.on_reported_limit(limit);
    }
    if newly_suspected {
        node.planner_wake.notify_one();
    }
}
