//! The messages between entries.

use serde::{Deserialize, Serialize};

use super::loads::EndpointLoad;
use crate::Name;
use crate::named_limits::{MAX_ANNOUNCED, NamedLimit};
use crate::quarantine::{Aged, Answer, CrashReport};

/// Maximum number of loads in one message; the endpoints with the most requests are kept.
const MAX_LOADS: usize = 1_000;
/// Maximum number of suspicions, of slow leaders, of crashes, of answers and of
/// departures in one message.
const MAX_OBSERVATIONS: usize = 32;

/// Which run of an entry's process sent a message, and its number within the run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sender {
    /// Short hash of the entry's name, see [`crate::name_key`].
    pub key: u32,
    /// Identifies the run of the process.
    pub incarnation: u64,
    /// Number of the message within the run.
    pub sequence: u64,
}

impl Sender {
    /// Returns whether a message is newer than another of the same sender. A restarted
    /// process counts from 1 again.
    pub(super) const fn is_after(&self, other: &Self) -> bool {
        self.incarnation != other.incarnation || self.sequence > other.sequence
    }
}

/// What an entry says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryStatus {
    /// Short hash of the entry's name.
    pub key: u32,
    /// Whether it accepts callers.
    pub ready: bool,
    /// Whether the store itself answers it, its copy is complete, and it reaches endpoints.
    pub synced: bool,
    /// Whether it plans groups.
    pub planning: bool,
    /// Whether the store accepts its calls, as far as it knows.
    pub reaches_store: bool,
    /// Whether it has no way to the endpoints, and forwards requests to other entries.
    pub cut_off: bool,
}

impl EntryStatus {
    /// Returns the status as bits, for messages.
    #[must_use]
    pub const fn bits(&self) -> u8 {
        self.ready as u8
            | (self.synced as u8) << 1
            | (self.planning as u8) << 2
            | (self.reaches_store as u8) << 3
            | (self.cut_off as u8) << 4
    }

    /// Returns the status of an entry from its bits.
    #[must_use]
    pub const fn from_bits(key: u32, bits: u8) -> Self {
        Self {
            key,
            ready: bits & 1 != 0,
            synced: bits & 2 != 0,
            planning: bits & 4 != 0,
            reaches_store: bits & 8 != 0,
            cut_off: bits & 16 != 0,
        }
    }
}

/// Returns a hash of a list of entries that is sorted by key. Hubs leave the list out of
/// digests for followers that have the same one.
#[must_use]
pub fn entries_hash(entries: &[EntryStatus]) -> u32 {
    let bytes = entries.iter().flat_map(|e| {
        let key = e.key.to_be_bytes();
        key.into_iter().chain([e.bits()])
    });
    crate::fnv_hash(bytes)
}

/// An endpoint at which an entry saw a failure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspicion {
    /// Name of the endpoint.
    pub endpoint: Name,
    /// Its incarnation.
    pub incarnation: u64,
}

/// An incarnation of an endpoint that has said that it leaves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Departure {
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

/// The requests in flight and the observations in a message.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct News {
    /// Requests in flight, by endpoint.
    pub loads: Vec<EndpointLoad>,
    /// Endpoints at which requests failed or stalled recently.
    pub suspects: Vec<Suspicion>,
    /// Slow leaders. Only the entry that plans, and so probes members, observes them.
    pub slow: Vec<SlowLeader>,
    /// Endpoint runs that were lost under requests.
    pub crashes: Vec<Aged<CrashReport>>,
    /// Answers that acquit suspected requests and parts of prompts.
    pub answers: Vec<Aged<Answer>>,
    /// Endpoints that have said that they leave.
    pub departures: Vec<Departure>,
    /// Limits that endpoints name.
    pub limits: Vec<Aged<NamedLimit>>,
}

impl News {
    /// Bounds the size of the message. What is left out is repeated later or, for loads,
    /// concerns the endpoints with the fewest requests.
    pub fn limit(&mut self) {
        if self.loads.len() > MAX_LOADS {
            self.loads
                .sort_unstable_by_key(|l| std::cmp::Reverse(l.requests));
            self.loads.truncate(MAX_LOADS);
        }
        self.suspects.truncate(MAX_OBSERVATIONS);
        self.slow.truncate(MAX_OBSERVATIONS);
        self.crashes.truncate(MAX_OBSERVATIONS);
        self.answers.truncate(MAX_OBSERVATIONS);
        self.departures.truncate(MAX_OBSERVATIONS);
        self.limits.truncate(MAX_ANNOUNCED);
    }
}

/// Which digests an entry asks for in its report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DigestRate {
    /// None.
    #[default]
    None,
    /// Some, which show that the hub is alive.
    Reduced,
    /// One after every tick.
    Full,
}

/// What one entry has in flight and observed.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The entry.
    pub sender: Sender,
    /// Its status.
    pub status: EntryStatus,
    /// Which digests the recipient should return.
    pub digests: DigestRate,
    /// Hash of the entries in the recipient's last digest, see [`entries_hash`].
    pub known_entries: u32,
    /// Its requests and observations.
    pub news: News,
}

/// What a digest covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// The sender's data centre: a summary for the hubs of other data centres.
    DataCentre,
    /// All entries but the recipient.
    Deployment,
}

/// What several entries have in flight and observed, added up by a hub.
#[derive(Clone, Debug, PartialEq)]
pub struct Digest {
    /// The hub.
    pub sender: Sender,
    /// What it covers.
    pub scope: Scope,
    /// The live entries, sorted by key, or `None` if the recipient knows them.
    pub entries: Option<Vec<EntryStatus>>,
    /// Sums of the requests, and the observations.
    pub news: News,
}
