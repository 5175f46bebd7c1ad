//! Which entries are alive, and what all of them together have in flight.
//!
//! Several entries would send to the same idle leader if each knew only its own requests,
//! so each adds what the others have in flight. A small deployment exchanges reports
//! between all entries. In a large one, the entries of a data centre report to two of
//! them, its hubs, which add the reports up, exchange the sums with the hubs of the other
//! data centres, and return everything in digests. An entry then sends and receives the
//! same number of messages however many entries there are. See
//! `docs/decisions/0011-hundreds-of-entries.md`.
//!
//! Invariants: the load of an entry counts once, and only while its reports arrive; a
//! message that is older than the last one of its sender changes nothing.

mod digests;
mod holders;
mod hubs;
mod loads;
mod messages;
mod receive;
mod registry;
mod relays;
mod search;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bulrushhoist_core::Time;
use smallvec::SmallVec;

use crate::Name;
use crate::leader_choice::{COLD_HOLDERS, ColdShare};
pub use loads::EndpointLoad;
use loads::LoadSums;
pub use messages::{
    Departure, Digest, DigestRate, EntryStatus, News, Report, Scope, Sender, SlowLeader,
};
pub use messages::{Suspicion, entries_hash};
pub use registry::EntryInfo;
use registry::Registry;
pub use relays::RelayChoice;
use search::Search;

/// Intervals and limits of the exchange between entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Largest number of entries that report to each other without hubs.
    pub direct_limit: usize,
    /// Time between two ticks, and so between two reports of an entry.
    pub interval: Duration,
    /// Time without messages after which an entry counts as dead.
    pub live_timeout: Duration,
    /// Time after its last message during which an entry may still have requests at
    /// endpoints.
    pub forget_timeout: Duration,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            direct_limit: 40,
            interval: Duration::from_millis(200),
            live_timeout: Duration::from_millis(1_000),
            forget_timeout: Duration::from_secs(10),
        }
    }
}

/// Part of a report's interval per entry that a deployment without hubs adds, which bounds
/// the messages that an entry sends per second.
const DIRECT_INTERVAL_PER_ENTRY: Duration = Duration::from_millis(8);
/// Intervals without a report after which an entry counts as dead without hubs.
const DIRECT_MISSED_REPORTS: u32 = 4;
/// Hubs of each data centre.
const HUBS: usize = 2;
/// Ticks between two digests at the reduced rate, and between two summaries.
const REDUCED_RATE_TICKS: u64 = 2;
/// Time without a summary after which the entries of its data centre count as dead.
const SUMMARY_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time for which a digest is used after the hubs have become silent.
const DIGEST_TTL: Duration = Duration::from_millis(2_500);
/// Time without digests after which another entry takes a hub's place.
const HUB_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time for which an unresponsive hub is left out.
const HUB_BACKOFF: Duration = Duration::from_secs(5);
/// Time for which reported suspicions and slow leaders are passed on.
const NEWS_TTL: Duration = Duration::from_millis(1_500);
/// Time after the start, or after its registration, within which an entry may not have
/// been heard yet.
const DISCOVERY_TIME: Duration = Duration::from_millis(1_500);
/// Ticks that must be late by this many intervals to count as a suspension of this
/// process, which hears nobody meanwhile.
const LATE_TICK_FACTOR: u32 = 3;

/// How this entry takes part in the exchange.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "lowercase")]
pub enum Role {
    /// All entries report to each other.
    #[default]
    Direct,
    /// It adds up the reports of its data centre.
    Hub,
    /// It reports to the hubs of its data centre.
    Follower,
}

/// A message with the time of its receipt.
#[derive(Clone, Debug)]
struct Received<T> {
    message: T,
    at: Time,
}

/// What the digests of one hub say.
#[derive(Clone, Debug, Default)]
struct HubView {
    sender: Sender,
    at: Time,
    entries: Vec<EntryStatus>,
    loads: LoadSums,
}

/// A hub to which this entry reports.
#[derive(Clone, Copy, Debug)]
struct Contact {
    key: u32,
    since: Time,
}

/// Where a piece of news came from, which decides to whom it is passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    /// A report: it goes to the followers and to the other data centres.
    Report,
    /// A summary of another data centre: it goes to the followers.
    Summary,
    /// A digest: it goes no further.
    Digest,
}

/// A recipient of this entry's report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Recipient {
    /// Where it receives messages.
    pub address: SocketAddr,
    /// Which digests it should return.
    pub digests: DigestRate,
    /// Hash of the entries in its last digest.
    pub known_entries: u32,
}

/// The messages to send after a tick.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outgoing {
    /// Recipients of this entry's report.
    pub reports: Vec<Recipient>,
    /// Keys and addresses of the followers that get a digest.
    pub digests: Vec<(u32, SocketAddr)>,
    /// Addresses of the hubs of other data centres that get a summary.
    pub summaries: Vec<SocketAddr>,
    /// Names of the entries that have become silent since the last tick.
    pub departed: Vec<Name>,
}

/// The entries of a deployment, as one of them knows them.
#[derive(Debug)]
pub struct Membership {
    settings: MembershipSettings,
    registry: Registry,
    role: Role,
    /// When this entry took its role.
    role_since: Time,
    /// The search for live entries, while there are hubs and none sends digests.
    search: Option<Search>,
    started: Time,
    ticks: u64,
    last_tick: Time,
    /// End of the last suspension of this process: what was heard before counts from then.
    resumed: Time,
    reports: HashMap<u32, Received<Report>>,
    report_loads: LoadSums,
    summaries: HashMap<u32, Received<Digest>>,
    summary_loads: LoadSums,
    views: HashMap<u32, HubView>,
    contacts: SmallVec<[Contact; HUBS]>,
    unresponsive: HashMap<u32, Time>,
    /// Live entries other than this one, by key.
    live: HashMap<u32, EntryStatus>,
    /// When the entries that may still have requests were last alive.
    departed: HashMap<u32, Time>,
    /// Entries that have become silent since the last tick.
    newly_departed: Vec<u32>,
    suspects: HashMap<Name, (u64, Time, Origin)>,
    slow: HashMap<u32, (f64, Time, Origin)>,
}

impl Membership {
    /// Creates the membership of an entry that knows no other.
    #[must_use]
    pub fn new(settings: MembershipSettings, own: EntryInfo, now: Time) -> Self {
        Self {
            settings,
            registry: Registry::new(own, now),
            role: Role::Direct,
            role_since: now,
            search: None,
            started: now,
            ticks: 0,
            last_tick: now,
            resumed: now,
            reports: HashMap::new(),
            report_loads: LoadSums::default(),
            summaries: HashMap::new(),
            summary_loads: LoadSums::default(),
            views: HashMap::new(),
            contacts: SmallVec::new(),
            unresponsive: HashMap::new(),
            live: HashMap::new(),
            departed: HashMap::new(),
            newly_departed: Vec::new(),
            suspects: HashMap::new(),
            slow: HashMap::new(),
        }
    }

    /// Adds or replaces an entry that the store lists.
    pub fn register(&mut self, now: Time, entry: EntryInfo) {
        self.registry.insert(now, entry);
    }

    /// Removes an entry that the store no longer lists.
    pub fn unregister(&mut self, name: &str) {
        self.registry.remove(name);
    }

    /// Applies registrations to the choice of hubs before the next tick does.
    pub fn refresh(&mut self, now: Time) {
        self.registry.refresh();
        self.update_role(now);
    }

    /// Returns how this entry takes part in the exchange.
    #[must_use]
    pub const fn role(&self) -> Role {
        self.role
    }

    /// Returns the number of other entries that the store lists.
    #[must_use]
    pub fn registered_count(&self) -> usize {
        self.registry.len() - 1
    }

    /// Returns the other entries that the store lists.
    pub fn registered(&self) -> impl Iterator<Item = &EntryInfo> {
        self.registry.others()
    }

    /// Returns a registered entry.
    #[must_use]
    pub fn info(&self, key: u32) -> Option<&EntryInfo> {
        self.registry.get(key)
    }

    /// Returns the time until the next tick is due.
    #[must_use]
    pub fn tick_interval(&self) -> Duration {
        match self.role {
            Role::Direct => {
                let others = u32::try_from(self.registered_count()).unwrap_or(u32::MAX);
                let spread = DIRECT_INTERVAL_PER_ENTRY.saturating_mul(others);
                self.settings.interval.max(spread)
            }
            Role::Hub | Role::Follower => self.settings.interval,
        }
    }

    /// Returns the age that the loads of other entries usually have at most.
    #[must_use]
    pub fn view_age(&self) -> Duration {
        match self.role {
            Role::Direct => self.tick_interval(),
            Role::Hub | Role::Follower => self.settings.interval * 2,
        }
    }

    fn live_timeout(&self) -> Duration {
        match self.role {
            Role::Direct => self.tick_interval() * DIRECT_MISSED_REPORTS,
            Role::Hub | Role::Follower => self.settings.live_timeout,
        }
    }

    fn is_recent(&self, now: Time, at: Time, timeout: Duration) -> bool {
        now.since(at.max(self.resumed)) < timeout
    }

    /// Forgets silent entries and returns the messages that are due.
    pub fn tick(&mut self, now: Time) -> Outgoing {
        if now.since(self.last_tick) > self.tick_interval() * LATE_TICK_FACTOR {
            self.resumed = now;
            self.search = None;
        }
        self.last_tick = now;
        self.ticks += 1;
        self.registry.refresh();
        self.expire(now);
        self.update_role(now);
        self.find_live(now);
        let mut outgoing = Outgoing {
            departed: self.newly_departed(),
            ..Outgoing::default()
        };
        let searched = self.update_search(now);
        if self.role == Role::Direct {
            self.contacts.clear();
            outgoing.reports = self.registry.others().map(to_peer).collect();
        } else {
            self.update_contacts(now);
            outgoing.reports = self.reports_to_hubs();
            let contacted = |a: &SocketAddr| outgoing.reports.iter().any(|r| r.address == *a);
            let searched = searched.into_iter().filter(|a| !contacted(a));
            let searched: Vec<Recipient> = searched.map(to_unheard).collect();
            outgoing.reports.extend(searched);
        }
        outgoing.digests = self.due_digests();
        if self.role == Role::Hub && self.ticks.is_multiple_of(REDUCED_RATE_TICKS) {
            outgoing.summaries = self.due_summaries(now);
        }
        outgoing
    }

    /// Returns what the other live entries have in flight at an endpoint: requests and
    /// prompt tokens.
    #[must_use]
    pub fn load(&self, now: Time, key: u32) -> (u32, u32) {
        let (requests, tokens) = match self.role {
            Role::Direct => return self.report_loads.get(key),
            Role::Follower => match self.best_view(now) {
                Some(view) => return view.loads.get(key),
                None => self.report_loads.get(key),
            },
            Role::Hub => self.report_loads.get(key),
        };
        let (more, more_tokens) = self.summary_loads.get(key);
        let requests = requests.saturating_add(more);
        (requests, tokens.saturating_add(more_tokens))
    }

    /// Returns the factor by which a leader is slower than published, as others report it.
    #[must_use]
    pub fn slowdown(&self, key: u32) -> f64 {
        self.slow
            .get(&key)
            .map_or(1.0, |(slowdown, ..)| slowdown.max(1.0))
    }

    /// Returns the other live entries that are registered.
    pub fn live(&self) -> impl Iterator<Item = (&EntryInfo, EntryStatus)> {
        let all = self.live.iter();
        all.filter_map(|(key, status)| Some((self.registry.get(*key)?, *status)))
    }

    /// Returns this entry's share of the rate of a cold endpoint. In a large deployment a few
    /// entries hold it, chosen like the holders of a named rate.
    #[must_use]
    pub fn cold_share(&self, now: Time, endpoint: u32) -> ColdShare {
        if self.registry.len() <= self.settings.direct_limit {
            return ColdShare::Equal;
        }
        match self.rate_holders(now, endpoint, COLD_HOLDERS) {
            Some(holders) => ColdShare::Holder(holders),
            None => ColdShare::Nothing,
        }
    }

    /// Returns whether this entry has had time to hear of the others.
    #[must_use]
    pub fn is_settled(&self, now: Time) -> bool {
        let heard = self.role != Role::Follower || self.best_view(now).is_some();
        heard && now.since(self.started.max(self.resumed)) >= DISCOVERY_TIME
    }

    /// Returns the number of entries, including this one, that may have requests at
    /// endpoints.
    ///
    /// The entries of a data centre from which none is heard may be cut off instead of
    /// dead, and an entry that has just started has not heard the others yet. Both count
    /// as registered, so that limits which the entries share hold.
    #[must_use]
    pub fn entry_count(&self, now: Time) -> usize {
        let heard = 1 + self.live.len() + self.departed.len();
        match self.is_settled(now) {
            true => heard + self.unheard_count(),
            false => heard.max(self.registry.len()),
        }
    }

    /// Returns the number of registered entries in the data centres from which none is
    /// heard.
    fn unheard_count(&self) -> usize {
        let own = self.registry.own_key();
        let is_heard = |key: &u32| self.live.contains_key(key) || self.departed.contains_key(key);
        let data_centres = self.registry.data_centres();
        let others = |d: &Name| {
            let keys = self.registry.in_data_centre(d).iter();
            let mut others = keys.filter(|k| **k != own);
            match others.clone().any(is_heard) {
                true => 0,
                false => others.by_ref().count(),
            }
        };
        data_centres.map(others).sum()
    }

    /// Returns whether this entry should plan groups. `own` is its own status.
    ///
    /// Of the live entries that are ready and synced with the store, one that plans already
    /// goes on. If several or none do, the one with the most processor time plans, and of
    /// equals the one with the lowest name.
    #[must_use]
    pub fn may_plan(&self, now: Time, own: EntryStatus) -> bool {
        let known =
            self.role == Role::Direct || self.is_settled(now) && self.has_searched_others(now);
        let precedes = |(entry, status): (&EntryInfo, EntryStatus)| {
            let eligible = status.synced && status.ready;
            eligible
                && match (status.planning, own.planning) {
                    (true, false) => true,
                    (false, true) => false,
                    _ => entry.plans_before(self.registry.own()),
                }
        };
        own.synced && known && !self.live().any(precedes)
    }
}

/// What this entry itself contributes to its messages.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnNews {
    /// Its status.
    pub status: EntryStatus,
    /// Its requests and observations.
    pub news: News,
}

fn to_unheard(address: SocketAddr) -> Recipient {
    Recipient {
        address,
        digests: DigestRate::Full,
        known_entries: 0,
    }
}

fn to_peer(entry: &EntryInfo) -> Recipient {
    Recipient {
        address: entry.peers,
        digests: DigestRate::None,
        known_entries: 0,
    }
}
