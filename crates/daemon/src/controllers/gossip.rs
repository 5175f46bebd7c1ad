//! Gossip with other daemons: probes their liveness and exchanges updates.
//!
//! Each message carries membership updates, the revisions of the shared objects held,
//! strikes against requests and the age of the sender's proof of freshness.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bulrushhoist_core::{
    Fingerprint, MemberId, MemberState, MemberUpdate, ObjectKey, ProbeTarget, Time,
};
use bulrushhoist_wire::peer;
use bulrushhoist_wire::peer::peer_client::PeerClient;
use prost::Message as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use tonic::metadata::MetadataValue;
use tonic::transport::{Channel, Endpoint};

use crate::node::{Core, Node};

/// Number of daemons that are asked for an indirect probe when a direct one fails.
const INDIRECT_PROBERS: usize = 2;
/// Maximum number of strikes in one message.
const MAX_STRIKES_PER_MESSAGE: usize = 16;
/// Time for which [`gossip_with_all`] waits for replies.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(300);
/// Header with the key by which daemons authenticate to each other.
pub(super) const PEER_KEY_HEADER: &str = "x-peer-key";

/// Open channels to other daemons, by address.
#[derive(Default)]
pub(crate) struct PeerChannels {
    channels: Mutex<HashMap<std::net::SocketAddr, Channel>>,
}

impl PeerChannels {
    /// Returns the channel to a daemon, creating it if there is none.
    pub(super) fn get(&self, node: &Node, target: ProbeTarget) -> Option<Channel> {
        let mut channels = self
            .channels
            .lock()
            .expect("no thread panics while it holds the lock");
        if let Some(channel) = channels.get(&target.address) {
            return Some(channel.clone());
        }
        let timeout = peer_timeout(node);
        let channel = Endpoint::from_shared(format!("http://{}", target.address))
            .ok()?
            .connect_timeout(timeout)
            .timeout(timeout)
            .tcp_nodelay(true)
            .http2_keep_alive_interval(Duration::from_secs(1))
            .keep_alive_timeout(Duration::from_secs(1))
            .connect_lazy();
        channels.insert(target.address, channel.clone());
        Some(channel)
    }

    /// Closes the channel to a daemon, so that the next call reconnects.
    fn drop_channel(&self, target: ProbeTarget) {
        let mut channels = self
            .channels
            .lock()
            .expect("no thread panics while it holds the lock");
        channels.remove(&target.address);
    }
}

/// Returns the timeout of a connect or a call to another daemon.
fn peer_timeout(node: &Node) -> Duration {
    node.settings.timing.gossip_interval * 2
}

/// Wraps a message in a request that carries the peer key.
pub(super) fn request<T>(node: &Node, message: T) -> tonic::Request<T> {
    let mut request = tonic::Request::new(message);
    let key = node.settings.security.peer_key.as_deref();
    if let Some(value) = key.and_then(|k| MetadataValue::try_from(k).ok()) {
        request.metadata_mut().insert(PEER_KEY_HEADER, value);
    }
    request
}

/// Probes one daemon at every gossip interval.
pub(super) async fn run(node: Arc<Node>) {
    let mut rng = StdRng::seed_from_u64(node.id.get());
    let mut interval = tokio::time::interval(node.settings.timing.gossip_interval);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let (target, indirect_probers) = {
            let mut core = node.core();
            let Some(target) = core.membership.next_probe(&mut rng) else {
                continue;
            };
            (
                target,
                core.membership
                    .indirect_probers(target.member, INDIRECT_PROBERS, &mut rng),
            )
        };
        tokio::spawn(run_probe(Arc::clone(&node), target, indirect_probers));
    }
}

/// Probes a daemon directly, then through other daemons if that fails.
///
/// The indirect probes keep a fault on one network path from making the target
/// suspect.
async fn run_probe(node: Arc<Node>, target: ProbeTarget, indirect_probers: Vec<ProbeTarget>) {
    if exchange_gossip(&node, target).await {
        return;
    }
    node.peers.drop_channel(target);
    let mut probes = tokio::task::JoinSet::new();
    for prober in indirect_probers {
        probes.spawn(probe_indirectly(Arc::clone(&node), prober, target.member));
    }
    while let Some(reached) = probes.join_next().await {
        if matches!(reached, Ok(true)) {
            // An indirect reply does not name the target's incarnation.
            node.core()
                .membership
                .on_reply(node.now(), target.member, 0);
            return;
        }
    }
    node.core()
        .membership
        .on_probe_failed(node.now(), target.member);
}

async fn probe_indirectly(node: Arc<Node>, prober: ProbeTarget, target: MemberId) -> bool {
    let Some(channel) = node.peers.get(&node, prober) else {
        return false;
    };
    let message = request(
        &node,
        peer::IndirectProbe {
            target: target.get(),
        },
    );
    let reply = PeerClient::new(channel).probe_indirect(message).await;
    reply.is_ok_and(|r| r.into_inner().reached)
}

/// Exchanges gossip with a daemon; returns whether that daemon replied.
///
/// The reply renews this daemon's freshness only if every object that it announces
/// is in force here, after fetching the newer ones if needed.
pub(super) async fn exchange_gossip(node: &Arc<Node>, target: ProbeTarget) -> bool {
    let Some(channel) = node.peers.get(node, target) else {
        return false;
    };
    let message = build_gossip(node);
    node.metrics.on_peer_bytes(message.encoded_len());
    let sent = node.now();
    let reply = PeerClient::new(channel).probe(request(node, message)).await;
    let Ok(reply) = reply else { return false };
    let reply = reply.into_inner();
    if reply.sender != target.member.get() {
        // Another process now listens at this address.
        return false;
    }
    node.core()
        .membership
        .on_reply(node.now(), target.member, reply.incarnation);
    apply_updates(node, &reply);
    if !holds_announced(node, &reply) {
        fetch_newer_objects(node, target).await;
    }
    if holds_announced(node, &reply) {
        let age = reply.freshness_age_us.map(Duration::from_micros);
        let mut core = node.core();
        core.freshness.on_reply(target.member, sent, age);
        node.refresh_freshness(&mut core);
    }
    true
}

/// Returns whether every object that a peer announced is in force here, at the
/// announced revision or a later one.
fn holds_announced(node: &Node, reply: &peer::Gossip) -> bool {
    let announced = reply.objects.iter().map(|o| (o.key.as_str(), o.revision));
    node.core().cache.covers(announced)
}

/// Builds this daemon's gossip message.
pub(super) fn build_gossip(node: &Node) -> peer::Gossip {
    let now = node.now();
    let mut core = node.core();
    let members = core.membership.take_updates();
    let age = core.freshness.age(now);
    peer::Gossip {
        sender: node.id.get(),
        incarnation: core.membership.incarnation(),
        members: members.into_iter().map(to_wire).collect(),
        objects: digests(&core),
        strikes: strikes(&core),
        freshness_age_us: age.and_then(|a| u64::try_from(a.as_micros()).ok()),
    }
}

/// Returns the keys and revisions of the shared objects held here.
fn digests(core: &Core) -> Vec<peer::ObjectRevision> {
    let digest =
        |(key, revision): (&ObjectKey, bulrushhoist_core::Revision)| peer::ObjectRevision {
            key: key.as_str().to_owned(),
            revision: revision.get(),
        };
    core.cache.digests().map(digest).collect()
}

fn strikes(core: &Core) -> Vec<peer::Strike> {
    let strike = |(fingerprint, incidents): (Fingerprint, &[u64])| peer::Strike {
        fingerprint: fingerprint.get(),
        incidents: incidents.to_vec(),
    };
    core.dispatcher
        .quarantine()
        .suspects(MAX_STRIKES_PER_MESSAGE)
        .map(strike)
        .collect()
}

fn to_wire(update: MemberUpdate) -> peer::MemberNews {
    let state = match update.state {
        MemberState::Alive => peer::MemberState::Alive,
        MemberState::Suspect => peer::MemberState::Suspect,
        MemberState::Leaving => peer::MemberState::Leaving,
        MemberState::Dead => peer::MemberState::Dead,
    };
    peer::MemberNews {
        member: update.member.get(),
        incarnation: update.incarnation,
        state: state.into(),
    }
}

fn from_wire(update: &peer::MemberNews) -> MemberUpdate {
    let state = match update.state() {
        peer::MemberState::Alive => MemberState::Alive,
        peer::MemberState::Suspect => MemberState::Suspect,
        peer::MemberState::Leaving => MemberState::Leaving,
        peer::MemberState::Dead => MemberState::Dead,
    };
    let member = MemberId::new(update.member);
    MemberUpdate {
        member,
        incarnation: update.incarnation,
        state,
    }
}

/// Applies the membership updates and strikes in a peer's message.
pub(super) fn apply_updates(node: &Node, gossip: &peer::Gossip) {
    let now = node.now();
    let mut core = node.core();
    for update in &gossip.members {
        core.membership.apply_update(now, from_wire(update));
    }
    for strike in &gossip.strikes {
        record_strike(&mut core, now, strike);
    }
}

/// Records the incidents of a strike in the quarantine.
pub(super) fn record_strike(core: &mut Core, now: Time, strike: &peer::Strike) {
    let fingerprint = Fingerprint::new(strike.fingerprint);
    for incident in &strike.incidents {
        core.dispatcher
            .quarantine_mut()
            .strike(now, fingerprint, *incident);
    }
}

/// Fetches the objects of which a peer has newer copies.
async fn fetch_newer_objects(node: &Arc<Node>, target: ProbeTarget) {
    let Some(channel) = node.peers.get(node, target) else {
        return;
    };
    let message = peer::ObjectDigests {
        objects: digests(&node.core()),
    };
    node.metrics.on_peer_bytes(message.encoded_len());
    let mut client =
        PeerClient::new(channel).max_decoding_message_size(bulrushhoist_wire::MAX_MESSAGE_BYTES);
    let Ok(reply) = client.fetch_objects(request(node, message)).await else {
        return;
    };
    let objects = reply.into_inner().objects;
    let copies: Vec<(ObjectKey, String)> = objects
        .into_iter()
        .filter_map(|o| {
            Some((
                ObjectKey::from_wire(&o.key),
                String::from_utf8(o.json).ok()?,
            ))
        })
        .collect();
    node.adopt_objects(copies.iter().map(|(key, json)| (key, json.as_str())));
}

/// Exchanges gossip with every other daemon at once, to announce a strike or a
/// planned stop.
///
/// It waits up to [`ANNOUNCE_TIMEOUT`] for replies, so that a caller who is refused
/// and sends the request again at another entry finds it quarantined there.
pub(crate) async fn gossip_with_all(node: &Arc<Node>) {
    let others = node.core().membership.others();
    let mut exchanges = tokio::task::JoinSet::new();
    for other in others {
        let node = Arc::clone(node);
        exchanges.spawn(async move { exchange_gossip(&node, other).await });
    }
    let all = async { while exchanges.join_next().await.is_some() {} };
    // Daemons that do not reply in time receive the updates by regular gossip.
    let _ = tokio::time::timeout(ANNOUNCE_TIMEOUT, all).await;
}
