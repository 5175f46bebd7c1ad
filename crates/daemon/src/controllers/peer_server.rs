//! Server of the peer protocol, by which daemons gossip, share reports and grant
//! probations.

use std::net::SocketAddr;
use std::sync::Arc;

use bulrushhoist_core::{Fingerprint, MemberId, ObjectKey, ProbeTarget, Revision};
use bulrushhoist_wire::MAX_MESSAGE_BYTES;
use bulrushhoist_wire::peer;
use bulrushhoist_wire::peer::peer_server::{Peer, PeerServer};
use prost::Message as _;
use subtle::ConstantTimeEq as _;
use tokio::net::TcpListener;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status};

use super::gossip::{PEER_KEY_HEADER, apply_updates, build_gossip, exchange_gossip};
use super::probation;
use super::reports::own_reports;
use crate::node::Node;

/// Implements the peer protocol.
struct PeerService {
    node: Arc<Node>,
}

/// Serves the peer protocol on a bound listener until its task is dropped.
pub(crate) async fn serve_peers(
    node: Arc<Node>,
    listener: TcpListener,
) -> Result<(), tonic::transport::Error> {
    let service =
        PeerServer::new(PeerService { node }).max_encoding_message_size(MAX_MESSAGE_BYTES);
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    Server::builder()
        .add_service(service)
        .serve_with_incoming(incoming)
        .await
}

impl PeerService {
    /// Rejects requests without the deployment's peer key, if one is set.
    fn check_key<T>(&self, request: &Request<T>) -> Result<(), Status> {
        let Some(key) = &self.node.settings.security.peer_key else {
            return Ok(());
        };
        let presented = request.metadata().get(PEER_KEY_HEADER);
        let matches = presented.is_some_and(|s| bool::from(s.as_bytes().ct_eq(key.as_bytes())));
        if matches {
            Ok(())
        } else {
            Err(Status::unauthenticated("wrong peer key"))
        }
    }
}

#[tonic::async_trait]
impl Peer for PeerService {
    async fn probe(
        &self,
        request: Request<peer::Gossip>,
    ) -> Result<Response<peer::Gossip>, Status> {
        self.check_key(&request)?;
        apply_updates(&self.node, request.get_ref());
        let reply = build_gossip(&self.node);
        self.node.metrics.on_peer_bytes(reply.encoded_len());
        Ok(Response::new(reply))
    }

    async fn probe_indirect(
        &self,
        request: Request<peer::IndirectProbe>,
    ) -> Result<Response<peer::IndirectResult>, Status> {
        self.check_key(&request)?;
        let member = MemberId::new(request.get_ref().target);
        let address: Option<SocketAddr> = self.node.core().membership.address(member);
        let reached = match address {
            Some(address) => exchange_gossip(&self.node, ProbeTarget { member, address }).await,
            None => false,
        };
        Ok(Response::new(peer::IndirectResult { reached }))
    }

    async fn begin_probation(
        &self,
        request: Request<peer::Strike>,
    ) -> Result<Response<peer::ProbationReply>, Status> {
        self.check_key(&request)?;
        let granted = probation::grant(&self.node, request.get_ref());
        Ok(Response::new(peer::ProbationReply { granted }))
    }

    async fn end_probation(
        &self,
        request: Request<peer::ProbationEnd>,
    ) -> Result<Response<peer::ProbationReply>, Status> {
        self.check_key(&request)?;
        let end = request.get_ref();
        let fingerprint = Fingerprint::new(end.fingerprint);
        self.node
            .core()
            .dispatcher
            .quarantine_mut()
            .on_finished(fingerprint, end.answered);
        Ok(Response::new(peer::ProbationReply { granted: true }))
    }

    async fn pull_reports(
        &self,
        request: Request<peer::ReportQuery>,
    ) -> Result<Response<peer::GroupReports>, Status> {
        self.check_key(&request)?;
        Ok(Response::new(own_reports(&self.node)))
    }

    async fn fetch_objects(
        &self,
        request: Request<peer::ObjectDigests>,
    ) -> Result<Response<peer::SharedObjects>, Status> {
        self.check_key(&request)?;
        let reply = newer_objects(&self.node, request.get_ref());
        self.node.metrics.on_peer_bytes(reply.encoded_len());
        Ok(Response::new(reply))
    }
}

/// Returns the objects of which this daemon has newer copies than a peer.
///
/// A newer manifest is sent together with all its parts, because the peer puts a
/// configuration in force only once it holds every part.
fn newer_objects(node: &Node, held: &peer::ObjectDigests) -> peer::SharedObjects {
    let core = node.core();
    let held_revision = |key: &ObjectKey| {
        let found = held.objects.iter().find(|o| o.key == key.as_str());
        found.map(|o| Revision::new(o.revision))
    };
    let mut keys: Vec<ObjectKey> = core
        .cache
        .digests()
        .filter(|(key, revision)| held_revision(key) < Some(*revision))
        .map(|(key, _)| key.clone())
        .collect();
    if keys.contains(&ObjectKey::manifest())
        && let Some(manifest) = core.cache.read(&ObjectKey::manifest())
    {
        keys.extend(crate::view::part_keys(&manifest.body));
    }
    let object = |key: ObjectKey| {
        let cached = core.cache.get(&key)?;
        Some(peer::SharedObject {
            key: key.as_str().to_owned(),
            revision: cached.revision.get(),
            json: cached.json.as_bytes().to_vec(),
        })
    };
    peer::SharedObjects {
        objects: keys.into_iter().filter_map(object).collect(),
    }
}
