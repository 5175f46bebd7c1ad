//! Probes other daemons and exchanges news with them.

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

/// Daemons asked to probe a silent one.
const HELPERS: usize = 2;
/// Strikes in one message at most.
const STRIKES_PER_MESSAGE: usize = 16;
/// Time for which an announcement of strikes waits for replies.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(300);
/// Header with the key that daemons show each other.
pub(super) const PEER_KEY_HEADER: &str = "x-peer-key";

/// Connections to other daemons.
#[derive(Default)]
pub(crate) struct PeerChannels {
    channels: Mutex<HashMap<std::net::SocketAddr, Channel>>,
}

impl PeerChannels {
    pub(super) fn get(&self, node: &Node, target: ProbeTarget) -> Option<Channel> {
        let mut channels = self
            .channels
            .lock()
            .expect("no thread panics while it holds the lock");
        if let Some(channel) = channels.get(&target.address) {
            return Some(channel.clone());
        }
        let timeout = probe_timeout(node);
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

    fn drop_channel(&self, target: ProbeTarget) {
        let mut channels = self
            .channels
            .lock()
            .expect("no thread panics while it holds the lock");
        channels.remove(&target.address);
    }
}

fn probe_timeout(node: &Node) -> Duration {
    node.settings.timing.gossip_interval * 2
}

pub(super) fn request<T>(node: &Node, message: T) -> tonic::Request<T> {
    let mut request = tonic::Request::new(message);
    let key = node.settings.security.peer_key.as_deref();
    if let Some(value) = key.and_then(|k| MetadataValue::try_from(k).ok()) {
        request.metadata_mut().insert(PEER_KEY_HEADER, value);
    }
    request
}

pub(super) async fn run(node: Arc<Node>) {
    let mut rng = StdRng::seed_from_u64(node.id.get());
    let mut interval = tokio::time::interval(node.settings.timing.gossip_interval);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let (target, helpers) = {
            let mut core = node.core();
            let Some(target) = core.membership.next_probe(&mut rng) else {
                continue;
            };
            (
                target,
                core.membership
                    .indirect_probers(target.member, HELPERS, &mut rng),
            )
        };
        tokio::spawn(round(Arc::clone(&node), target, helpers));
    }
}

/// One probe, with helpers if it fails.
async fn round(node: Arc<Node>, target: ProbeTarget, helpers: Vec<ProbeTarget>) {
    if exchange(&node, target).await {
        return;
    }
    node.peers.drop_channel(target);
    let mut asked = tokio::task::JoinSet::new();
    for helper in helpers {
        asked.spawn(probe_through(Arc::clone(&node), helper, target.member));
    }
    while let Some(reached) = asked.join_next().await {
        if matches!(reached, Ok(true)) {
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

async fn probe_through(node: Arc<Node>, helper: ProbeTarget, target: MemberId) -> bool {
    let Some(channel) = node.peers.get(&node, helper) else {
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

/// Sends this daemon's news and takes the reply; returns whether one came.
pub(super) async fn exchange(node: &Arc<Node>, target: ProbeTarget) -> bool {
    let Some(channel) = node.peers.get(node, target) else {
        return false;
    };
    let message = gossip(node);
    node.metrics.on_peer_bytes(message.encoded_len());
    let sent = node.now();
    let reply = PeerClient::new(channel).probe(request(node, message)).await;
    let Ok(reply) = reply else { return false };
    let reply = reply.into_inner();
    if reply.sender != target.member.get() {
        // Another process answers at this address now.
        return false;
    }
    node.core()
        .membership
        .on_reply(node.now(), target.member, reply.incarnation);
    take_news(node, &reply);
    if !covers(node, &reply) {
        fetch(node, target).await;
    }
    if covers(node, &reply) {
        let age = reply.freshness_age_us.map(Duration::from_micros);
        let mut core = node.core();
        core.freshness.on_reply(target.member, sent, age);
        node.refresh_freshness(&mut core);
    }
    true
}

/// Whether everything that a peer announced is held and in force here.
fn covers(node: &Node, reply: &peer::Gossip) -> bool {
    let announced = reply.objects.iter().map(|o| (o.key.as_str(), o.revision));
    node.core().cache.covers(announced)
}

/// Builds this daemon's news.
pub(super) fn gossip(node: &Node) -> peer::Gossip {
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
        .suspects(STRIKES_PER_MESSAGE)
        .map(strike)
        .collect()
}

fn to_wire(news: MemberUpdate) -> peer::MemberNews {
    let state = match news.state {
        MemberState::Alive => peer::MemberState::Alive,
        MemberState::Suspect => peer::MemberState::Suspect,
        MemberState::Leaving => peer::MemberState::Leaving,
        MemberState::Dead => peer::MemberState::Dead,
    };
    peer::MemberNews {
        member: news.member.get(),
        incarnation: news.incarnation,
        state: state.into(),
    }
}

fn from_wire(news: &peer::MemberNews) -> MemberUpdate {
    let state = match news.state() {
        peer::MemberState::Alive => MemberState::Alive,
        peer::MemberState::Suspect => MemberState::Suspect,
        peer::MemberState::Leaving => MemberState::Leaving,
        peer::MemberState::Dead => MemberState::Dead,
    };
    let member = MemberId::new(news.member);
    MemberUpdate {
        member,
        incarnation: news.incarnation,
        state,
    }
}

/// Takes a peer's news about members and strikes.
pub(super) fn take_news(node: &Node, gossip: &peer::Gossip) {
    let now = node.now();
    let mut core = node.core();
    for news in &gossip.members {
        core.membership.apply_update(now, from_wire(news));
    }
    for strike in &gossip.strikes {
        take_strike(&mut core, now, strike);
    }
}

pub(super) fn take_strike(core: &mut Core, now: Time, strike: &peer::Strike) {
    let fingerprint = Fingerprint::new(strike.fingerprint);
    for incident in &strike.incidents {
        core.dispatcher
            .quarantine_mut()
            .strike(now, fingerprint, *incident);
    }
}

/// Fetches the objects that a peer has newer copies of.
async fn fetch(node: &Arc<Node>, target: ProbeTarget) {
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
    node.adopt(copies.iter().map(|(key, json)| (key, json.as_str())));
}

/// Tells every other daemon of a new strike, and waits a moment for replies,
/// so that a caller who sends the request again finds them prepared.
pub(crate) async fn announce_strikes(node: &Arc<Node>) {
    let others = node.core().membership.others();
    let mut told = tokio::task::JoinSet::new();
    for other in others {
        let node = Arc::clone(node);
        told.spawn(async move { exchange(&node, other).await });
    }
    let all = async { while told.join_next().await.is_some() {} };
    // Those that do not answer in time learn by gossip.
    let _ = tokio::time::timeout(ANNOUNCE_TIMEOUT, all).await;
}
