//! Asks the peers of a starting entry which endpoints have said that they leave, and answers
//! such questions.
//!
//! Whom to ask and how long to wait is decided by [`StateTransfer`]. A peer of an earlier
//! version answers 404, as it does to any unknown path, and counts as one that knows nothing.

use std::net::SocketAddr;

use bulrushhoist_core::Time;
use bulrushhoist_fleet::{Departure, PeerKnowledge, STATE_TRANSFER_TIMEOUT, StateTransfer};
use bytes::Bytes;
use futures_util::StreamExt as _;
use futures_util::stream::FuturesUnordered;
use http_body_util::Full;
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, StatusCode, Uri};
use serde::{Deserialize, Serialize};
use slog::info;

use crate::connection::Connection;
use crate::dialect::ObjectKind;
use crate::node::Node;
use crate::relay::{CONNECT_TIMEOUT, FRESHNESS_MARGIN};

/// Path of the question.
pub(crate) const PATH: &str = "/state";
/// Maximum size of an answer.
const MAX_ANSWER_BYTES: usize = 4 * 1_024 * 1_024;

/// What a peer knows that the store's records may not show, on the wire.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", default)]
struct PeerState {
    /// Whether its copy of the endpoints' records is current.
    current: bool,
    /// Endpoints that have said that they leave.
    departures: Vec<Departure>,
}

/// Returns what this entry knows, for a peer that starts.
pub(crate) fn answer(node: &Node) -> Bytes {
    let now = node.now();
    let kind = ObjectKind::Endpoints;
    let max_age = node.age_limits(kind).watch_wait() + FRESHNESS_MARGIN;
    let answered_at = node.relay.answered_at(kind);
    let state = node.state.borrow();
    let known = PeerState {
        current: state.has_roster && answered_at.is_some_and(|t| now.since(t) < max_age),
        departures: state.roster.departures(now).collect(),
    };
    Bytes::from(serde_json::to_vec(&known).expect("a state is valid JSON"))
}

/// Asks the peers of this starting entry, and returns the endpoints that have said that they
/// leave.
pub(crate) async fn fetch_departures(node: &Node) -> Vec<Departure> {
    let started = node.now();
    let mut transfer = {
        let mut state = node.state.borrow_mut();
        let state = &mut *state;
        let peers = state.peers.registered();
        StateTransfer::begin(started, &node.settings.data_centre, peers, &mut state.rng)
    };
    let mut departures = Vec::new();
    let mut last = PeerKnowledge::Unknown;
    let mut questions = FuturesUnordered::new();
    while !transfer.is_over(node.now()) {
        while let Some(peer) = transfer.next_peer() {
            questions.push(ask(peer));
        }
        let end = node.clock.instant(transfer.end());
        let Ok(Some(answered)) = tokio::time::timeout_at(end, questions.next()).await else {
            break;
        };
        last = match answered {
            Some(state) => {
                departures.extend(state.departures);
                match state.current {
                    true => PeerKnowledge::Current,
                    false => PeerKnowledge::Outdated,
                }
            }
            None => PeerKnowledge::Unknown,
        };
        transfer.on_answer(last);
    }
    let took = node.now().since(started).as_millis() as u64;
    info!(node.log, "peers asked at the start"; "last_answer" => %last, "leaving" => departures.len(), "took_ms" => took);
    departures
}

/// Asks one peer. Returns `None` if it gives no usable answer.
async fn ask(peer: SocketAddr) -> Option<PeerState> {
    let opened = Connection::open(peer, CONNECT_TIMEOUT, Time::ZERO).await;
    let mut connection = opened.ok()?;
    let mut request = Request::new(Full::default());
    *request.uri_mut() = Uri::from_static(PATH);
    request
        .headers_mut()
        .insert(HOST, HeaderValue::from_static("state"));
    let limit = STATE_TRANSFER_TIMEOUT;
    let answered = connection.fetch(request, limit, MAX_ANSWER_BYTES).await;
    let (status, body) = answered.ok()?;
    let body = (status == StatusCode::OK).then_some(body)?;
    serde_json::from_slice(&body).ok()
}
