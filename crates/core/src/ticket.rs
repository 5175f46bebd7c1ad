//! Tickets: at most one run of each non-idempotent request.
//!
//! Invariant: only the process incarnation that issued a ticket may run it,
//! and it moves the ticket from unused to dispatched at most once. Nothing in
//! this argument depends on a clock, a lease or the platform: a paused owner
//! that returns is still the only one that may run the ticket, and an owner
//! that is gone leaves the outcome unknown, never a second run.
//! See `docs/decisions/0001-at-most-once.md`.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::str::FromStr;

use derive_more::{Display, Error};
use hmac::{Hmac, Mac as _};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq as _;

use crate::ids::{Incarnation, RequestId};
use crate::refusal::{Reason, Refusal};

/// Bytes of the MAC that a ticket carries.
const MAC_BYTES: usize = 16;

/// SHA-256 of a request: method, path and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestDigest([u8; 32]);

impl RequestDigest {
    /// Digests a request.
    #[must_use]
    pub fn of_request(method: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        for part in [method.as_bytes(), path.as_bytes(), body] {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        Self(hasher.finalize().into())
    }
}

/// Leave to run one non-idempotent request, valid at one incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[display("t1_{owner}_{incarnation}_{sequence}_{}", hex(mac))]
#[serde(try_from = "String", into = "String")]
pub struct Ticket {
    /// Caller address of the daemon that issued the ticket.
    pub owner: SocketAddr,
    /// Run of that daemon.
    pub incarnation: Incarnation,
    /// Number of the ticket within the incarnation.
    pub sequence: u64,
    mac: [u8; MAC_BYTES],
}

impl Ticket {
    /// Returns the identity of the request that the ticket stands for.
    #[must_use]
    pub fn request_id(&self) -> RequestId {
        RequestId::from(self.incarnation.get() ^ u128::from(self.sequence))
    }
}

/// A text is not a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("not a ticket: t1_<address>_<incarnation>_<sequence>_<mac> is expected")]
pub struct TicketError;

impl FromStr for Ticket {
    type Err = TicketError;

    fn from_str(text: &str) -> Result<Self, TicketError> {
        let mut parts = text.split('_');
        let mut next = || parts.next().ok_or(TicketError);
        if next()? != "t1" {
            return Err(TicketError);
        }
        let owner = next()?.parse().map_err(|_| TicketError)?;
        let incarnation = next()?.parse().map_err(|_| TicketError)?;
        let sequence = next()?.parse().map_err(|_| TicketError)?;
        let mac = unhex(next()?).ok_or(TicketError)?;
        if parts.next().is_some() {
            return Err(TicketError);
        }
        Ok(Self {
            owner,
            incarnation,
            sequence,
            mac,
        })
    }
}

impl TryFrom<String> for Ticket {
    type Error = TicketError;

    fn try_from(text: String) -> Result<Self, TicketError> {
        text.parse()
    }
}

impl From<Ticket> for String {
    fn from(ticket: Ticket) -> Self {
        ticket.to_string()
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn unhex(text: &str) -> Option<[u8; MAC_BYTES]> {
    if text.len() != 2 * MAC_BYTES || !text.is_ascii() {
        return None;
    }
    let mut bytes = [0; MAC_BYTES];
    for (i, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).ok()?;
    }
    Some(bytes)
}

/// The answer of an endpoint, kept for repeats of the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type, if the endpoint named one.
    pub content_type: Option<String>,
    /// Whole body.
    pub body: Vec<u8>,
}

/// How a dispatched ticket ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TicketOutcome {
    /// The endpoint answered.
    Answered(Answer),
    /// The request may have run; its answer is lost.
    Lost,
    /// No endpoint ran the request. The ticket is spent all the same, so that
    /// a copy of the request which is still under way cannot run after its
    /// caller was told that it did not.
    NotRun(Reason),
}

/// What to do with a presented ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TicketDecision {
    /// Run the request now; report the outcome with [`TicketTable::finish`].
    Run,
    /// The request is running: wait for its outcome.
    Wait,
    /// The request ran; this is its answer.
    Replay(Answer),
    /// Refuse.
    Refused(Refusal),
}

impl From<TicketOutcome> for TicketDecision {
    fn from(outcome: TicketOutcome) -> Self {
        match outcome {
            TicketOutcome::Answered(answer) => Self::Replay(answer),
            TicketOutcome::Lost => Self::Refused(Refusal::unknown(Reason::EndpointFailed)),
            TicketOutcome::NotRun(reason) => Self::Refused(Refusal::not_run(reason)),
        }
    }
}

/// Bounds of what a daemon keeps for its tickets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TicketLimits {
    /// Finished tickets whose outcome is kept.
    pub max_outcomes: usize,
    /// Bytes of kept answers in all.
    pub max_bytes: usize,
}

impl Default for TicketLimits {
    fn default() -> Self {
        Self {
            max_outcomes: 65_536,
            max_bytes: 16 << 20,
        }
    }
}

#[derive(Clone, Debug)]
enum State {
    Dispatched,
    Done(TicketOutcome),
}

impl State {
    fn kept_bytes(&self) -> usize {
        match self {
            Self::Done(TicketOutcome::Answered(answer)) => answer.body.len(),
            Self::Done(TicketOutcome::Lost | TicketOutcome::NotRun(_)) | Self::Dispatched => 0,
        }
    }

    fn may_have_run(&self) -> bool {
        !matches!(self, Self::Done(TicketOutcome::NotRun(_)))
    }
}

#[derive(Clone, Debug)]
struct Entry {
    digest: RequestDigest,
    state: State,
}

/// What a stopped daemon's tickets did: every sequence that was dispatched.
///
/// With it, other daemons can say `not_run` truthfully of unused tickets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct TicketSnapshot {
    /// Sequences below this one are unknown.
    pub low_water: u64,
    /// Dispatched sequences from the low-water mark on, sorted.
    pub dispatched: Vec<u64>,
}

impl TicketSnapshot {
    /// Refuses a ticket of the sealed incarnation with what is known of it.
    #[must_use]
    pub fn refusal(&self, sequence: u64) -> Refusal {
        let ran = sequence < self.low_water || self.dispatched.binary_search(&sequence).is_ok();
        if ran {
            return Refusal::unknown(Reason::OwnerUnreachable);
        }
        Refusal::not_run(Reason::OwnerUnreachable)
    }
}

/// Every ticket of one incarnation.
#[derive(Debug)]
pub struct TicketTable {
    owner: SocketAddr,
    incarnation: Incarnation,
    key: [u8; 32],
    limits: TicketLimits,
    next: u64,
    low_water: u64,
    entries: BTreeMap<u64, Entry>,
    finished: VecDeque<u64>,
    kept_bytes: usize,
    sealed: bool,
}

impl TicketTable {
    /// Opens the book of a fresh incarnation. The key must be drawn at random
    /// and never leave the process.
    #[must_use]
    pub fn new(
        owner: SocketAddr,
        incarnation: Incarnation,
        key: [u8; 32],
        limits: TicketLimits,
    ) -> Self {
        Self {
            owner,
            incarnation,
            key,
            limits,
            next: 0,
            low_water: 0,
            entries: BTreeMap::new(),
            finished: VecDeque::new(),
            kept_bytes: 0,
            sealed: false,
        }
    }

    /// Issues a ticket. It costs no memory until it is presented.
    pub fn issue(&mut self) -> Ticket {
        let sequence = self.next;
        self.next += 1;
        let mac = self.mac(sequence);
        Ticket {
            owner: self.owner,
            incarnation: self.incarnation,
            sequence,
            mac,
        }
    }

    /// Decides about a ticket that came with a request.
    pub fn present(&mut self, ticket: &Ticket, digest: RequestDigest) -> TicketDecision {
        if !self.is_genuine(ticket) {
            return TicketDecision::Refused(Refusal::unknown(Reason::BadTicket));
        }
        let sequence = ticket.sequence;
        if let Some(entry) = self.entries.get(&sequence) {
            return Self::repeat(entry, digest);
        }
        if sequence < self.low_water {
            return TicketDecision::Refused(Refusal::unknown(Reason::TicketExpired));
        }
        if self.sealed {
            // The seal names no such sequence, and none can start any more.
            return TicketDecision::Refused(Refusal::not_run(Reason::Draining));
        }
        self.entries.insert(
            sequence,
            Entry {
                digest,
                state: State::Dispatched,
            },
        );
        TicketDecision::Run
    }

    fn repeat(entry: &Entry, digest: RequestDigest) -> TicketDecision {
        if entry.digest != digest {
            return TicketDecision::Refused(Refusal::unknown(Reason::TicketReused));
        }
        match &entry.state {
            State::Dispatched => TicketDecision::Wait,
            State::Done(outcome) => outcome.clone().into(),
        }
    }

    /// Records how a dispatched ticket ended.
    pub fn finish(&mut self, sequence: u64, outcome: &TicketOutcome) {
        let Some(entry) = self.entries.get_mut(&sequence) else {
            return;
        };
        if !matches!(entry.state, State::Dispatched) {
            return;
        }
        entry.state = State::Done(outcome.clone());
        self.kept_bytes += entry.state.kept_bytes();
        self.finished.push_back(sequence);
        self.forget_oldest();
    }

    /// Drops the oldest outcomes above the bounds. The low-water mark rises
    /// past them, so a forgotten ticket can be refused but never run again.
    fn forget_oldest(&mut self) {
        while self.finished.len() > self.limits.max_outcomes
            || self.kept_bytes > self.limits.max_bytes
        {
            let Some(oldest) = self.finished.pop_front() else {
                return;
            };
            if let Some(entry) = self.entries.remove(&oldest) {
                self.kept_bytes -= entry.state.kept_bytes();
            }
            self.low_water = self.low_water.max(oldest + 1);
        }
    }

    /// Ends the incarnation: nothing is run from here on.
    pub fn close(&mut self) -> TicketSnapshot {
        self.sealed = true;
        let ran = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.state.may_have_run());
        let dispatched = ran.map(|(sequence, _)| *sequence).collect();
        TicketSnapshot {
            low_water: self.low_water,
            dispatched,
        }
    }

    /// Returns the number of tickets whose outcome is kept or pending.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no ticket's outcome is kept or pending.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether this incarnation issued the ticket.
    #[must_use]
    pub fn is_genuine(&self, ticket: &Ticket) -> bool {
        let ours = ticket.incarnation == self.incarnation && ticket.sequence < self.next;
        ours && bool::from(self.mac(ticket.sequence).ct_eq(&ticket.mac))
    }

    fn mac(&self, sequence: u64) -> [u8; MAC_BYTES] {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.key).expect("HMAC takes any key length");
        mac.update(&self.incarnation.get().to_be_bytes());
        mac.update(&sequence.to_be_bytes());
        let full = mac.finalize().into_bytes();
        full[..MAC_BYTES]
            .try_into()
            .expect("a SHA-256 MAC has 32 bytes")
    }
}
