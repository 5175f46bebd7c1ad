//! Tickets, which allow at most one run of each non-idempotent request.
//!
//! Invariant: only the process incarnation that issued a ticket may run its
//! request, and it moves the ticket from unused to dispatched at most once.
//! The argument does not depend on a clock, a lease or the platform: an owner
//! that resumes after a pause is still the only process that may run the
//! request. If the owner is gone, the outcome is unknown, but there is never a
//! second run. See `docs/decisions/0001-at-most-once.md`.

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

/// Size of a ticket's message authentication code (MAC).
const MAC_BYTES: usize = 16;

/// SHA-256 digest of a request's method, path and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestDigest([u8; 32]);

impl RequestDigest {
    /// Computes the digest of a request.
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

/// Permission to run one non-idempotent request, valid at one incarnation of
/// one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[display("t1_{owner}_{incarnation}_{sequence}_{}", hex(mac))]
#[serde(try_from = "String", into = "String")]
pub struct Ticket {
    /// Address for callers of the daemon that issued the ticket.
    pub owner: SocketAddr,
    /// Incarnation of that daemon.
    pub incarnation: Incarnation,
    /// Number of the ticket within the incarnation.
    pub sequence: u64,
    mac: [u8; MAC_BYTES],
}

impl Ticket {
    /// Returns the identity of the request that runs under the ticket.
    #[must_use]
    pub fn request_id(&self) -> RequestId {
        RequestId::from(self.incarnation.get() ^ u128::from(self.sequence))
    }
}

/// Error of a text that does not have the form of a ticket.
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

/// Answer of an endpoint, kept to be replayed for repeats of the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type, if the endpoint sent one.
    pub content_type: Option<String>,
    /// Complete body.
    pub body: Vec<u8>,
}

/// Outcome of a dispatched ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TicketOutcome {
    /// The endpoint answered.
    Answered(Answer),
    /// The request may have run, and its answer is lost.
    Lost,
    /// No endpoint ran the request.
    ///
    /// The ticket is used up nevertheless, so that a copy of the request which
    /// is still under way cannot run after the caller was told that it did not.
    NotRun(Reason),
}

/// Decision about a request that came with a ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TicketDecision {
    /// Run the request, then report its outcome with [`TicketTable::finish`].
    Run,
    /// Wait for the outcome of the request, which is already running.
    Wait,
    /// Return this answer of the request, which has already run.
    Replay(Answer),
    /// Refuse the request.
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

/// Limits of the outcomes that a daemon keeps for its tickets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TicketLimits {
    /// Maximum number of finished tickets whose outcome is kept.
    pub max_outcomes: usize,
    /// Maximum total size of the kept answers' bodies, in bytes.
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

/// Stored record of the tickets that a stopped daemon dispatched.
///
/// It lets other daemons answer `not_run` for tickets that were never used.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct TicketSnapshot {
    /// Lowest sequence that the record covers; lower ones may have run.
    pub low_water: u64,
    /// Sequences from the low-water mark on that may have run, sorted.
    pub dispatched: Vec<u64>,
}

impl TicketSnapshot {
    /// Returns the refusal for a ticket of the stopped daemon, which says
    /// whether the request may have run.
    #[must_use]
    pub fn refusal(&self, sequence: u64) -> Refusal {
        let may_have_run =
            sequence < self.low_water || self.dispatched.binary_search(&sequence).is_ok();
        if may_have_run {
            return Refusal::unknown(Reason::OwnerUnreachable);
        }
        Refusal::not_run(Reason::OwnerUnreachable)
    }
}

/// The dispatched tickets of one incarnation, with their outcomes.
#[derive(Debug)]
pub struct TicketTable {
    owner: SocketAddr,
    incarnation: Incarnation,
    key: [u8; 32],
    limits: TicketLimits,
    next_sequence: u64,
    /// Lowest sequence that may still be dispatched; the outcomes of lower ones
    /// may have been dropped.
    low_water: u64,
    entries: BTreeMap<u64, Entry>,
    /// Sequences of the finished entries, in the order of their end.
    finished: VecDeque<u64>,
    kept_bytes: usize,
    closed: bool,
}

impl TicketTable {
    /// Creates the table of a new incarnation.
    ///
    /// The key must be random and must never leave the process, since it
    /// authenticates the tickets.
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
            next_sequence: 0,
            low_water: 0,
            entries: BTreeMap::new(),
            finished: VecDeque::new(),
            kept_bytes: 0,
            closed: false,
        }
    }

    /// Issues a ticket, which takes no memory until it is presented.
    pub fn issue(&mut self) -> Ticket {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let mac = self.mac(sequence);
        Ticket {
            owner: self.owner,
            incarnation: self.incarnation,
            sequence,
            mac,
        }
    }

    /// Decides what to do with a request that came with a ticket.
    ///
    /// The first request of a genuine ticket is dispatched. Repeats wait for
    /// its outcome or get its answer, unless their digest differs.
    pub fn present(&mut self, ticket: &Ticket, digest: RequestDigest) -> TicketDecision {
        if !self.is_genuine(ticket) {
            return TicketDecision::Refused(Refusal::unknown(Reason::BadTicket));
        }
        let sequence = ticket.sequence;
        if let Some(entry) = self.entries.get(&sequence) {
            return Self::decide_repeat(entry, digest);
        }
        if sequence < self.low_water {
            return TicketDecision::Refused(Refusal::unknown(Reason::TicketExpired));
        }
        if self.closed {
            // The snapshot does not contain this sequence, and no request is
            // dispatched after it, so this one has not run and never will.
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

    fn decide_repeat(entry: &Entry, digest: RequestDigest) -> TicketDecision {
        if entry.digest != digest {
            return TicketDecision::Refused(Refusal::unknown(Reason::TicketReused));
        }
        match &entry.state {
            State::Dispatched => TicketDecision::Wait,
            State::Done(outcome) => outcome.clone().into(),
        }
    }

    /// Records the outcome of a dispatched ticket.
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
        self.evict_oldest();
    }

    /// Drops the oldest outcomes until the limits are met.
    ///
    /// The low-water mark rises above their sequences, so that a ticket whose
    /// outcome was dropped is refused and never runs again.
    fn evict_oldest(&mut self) {
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

    /// Closes the table, after which no request is dispatched, and returns the
    /// snapshot to be stored.
    pub fn close(&mut self) -> TicketSnapshot {
        self.closed = true;
        let may_have_run = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.state.may_have_run());
        let dispatched = may_have_run.map(|(sequence, _)| *sequence).collect();
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
        let issued = ticket.incarnation == self.incarnation && ticket.sequence < self.next_sequence;
        issued && bool::from(self.mac(ticket.sequence).ct_eq(&ticket.mac))
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
