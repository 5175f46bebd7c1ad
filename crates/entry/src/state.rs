//! What an entry knows, and the decisions about requests made from it.
//!
//! State is borrowed for the length of a decision and never across an await.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bulrushhoist_core::{Fingerprint, Quarantine, QuarantineSettings, Time, stable_hash};
use bulrushhoist_fleet::{
    Batch, Candidate, Catalog, ColdLimiter, Endpoint, Engine, FirstEventLatency, Health,
    HealthMonitor, HealthSettings, Name, PeerSettings, PeerTable, Placement, PlacementSettings,
    PlainCandidate, PlainChoice, QueueSettings, RequestQueue, Roster, SharedRetryBudget, SlotLimit,
    Work, choose_leader, choose_plain_endpoint, max_event_gap,
};
use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use smallvec::SmallVec;
use tokio::sync::oneshot;

use crate::settings::Settings;

/// Least silence of all streams at a head after which it counts as stalled: a lost
/// packet is sent again within half of it.
const STALL_LEAST: Duration = Duration::from_millis(450);
/// Longest passes of a sound head that a silence must exceed.
const STALL_PASSES: f64 = 2.5;
/// Time after a failed call for which an entry leaves planning to others.
const STORE_AVOIDED: Duration = Duration::from_secs(3);

/// Time after its start in which an entry may not have heard all others.
const PEERS_UNHEARD: Duration = Duration::from_millis(1_500);

/// Part of a cold endpoint's rate that is used: entries that join or restart
/// aren't counted among the sharers yet.
const COLD_PART: f64 = 1.2;

/// Whether the entry takes callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It takes callers as soon as it knows enough.
    Serving,
    /// It was told to stop: other entries take new callers.
    Leaving {
        /// When it was told.
        since: Time,
    },
}

/// What this entry has in flight at one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OwnLoad {
    pub(crate) requests: u32,
    pub(crate) unread: u32,
    /// Requests whose first event has come.
    pub(crate) writing: u32,
    /// When the endpoint last wrote something, or got work while it had none.
    pub(crate) active: Time,
}

/// Requests that wait for a head of one model.
#[derive(Default)]
pub(crate) struct Line {
    pub(crate) waiting: RequestQueue,
    pub(crate) wakers: HashMap<u64, oneshot::Sender<bool>>,
    /// How long first events take.
    pub(crate) firsts: FirstEventLatency,
}

/// A service's model, as requests name it.
pub(crate) type ModelKey = (Name, Name);

/// Everything that changes.
pub(crate) struct State {
    pub(crate) phase: Phase,
    pub(crate) catalog: Rc<Catalog>,
    pub(crate) catalog_revision: u64,
    pub(crate) has_roster: bool,
    pub(crate) roster: Roster,
    pub(crate) monitor: HealthMonitor,
    pub(crate) peers: PeerTable,
    /// Entries that the store names beside this one, alive or not.
    pub(crate) recorded: usize,
    pub(crate) loads: HashMap<Name, OwnLoad>,
    pub(crate) cold: HashMap<Name, ColdLimiter>,
    pub(crate) lines: HashMap<ModelKey, Line>,
    pub(crate) budgets: HashMap<Name, SharedRetryBudget>,
    pub(crate) quarantine: Quarantine,
    pub(crate) suspicions: HashMap<Name, (u64, Time)>,
    /// When the store, or an entry that it answers, was heard last.
    pub(crate) store_heard: Option<Time>,
    /// When a call of the planner to the store failed last.
    pub(crate) store_failed: Option<Time>,
    pub(crate) in_traffic: bool,
    pub(crate) planning: bool,
    pub(crate) next_turn: u64,
    pub(crate) rng: SmallRng,
}

/// Offset basis of the 32-bit FNV-1a hash.
const FNV_OFFSET: u32 = 0x811c_9dc5;
/// Prime of the 32-bit FNV-1a hash.
const FNV_PRIME: u32 = 0x0100_0193;

/// Returns the short hash by which entries name an endpoint to each other.
pub(crate) fn load_key(id: &str) -> u32 {
    id.bytes().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

impl State {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            phase: Phase::Serving,
            catalog: Rc::default(),
            catalog_revision: 0,
            has_roster: false,
            roster: Roster::default(),
            monitor: HealthMonitor::new(HealthSettings::default()),
            peers: PeerTable::new(PeerSettings::default()),
            recorded: 0,
            loads: HashMap::new(),
            cold: HashMap::new(),
            lines: HashMap::new(),
            budgets: HashMap::new(),
            quarantine: Quarantine::new(QuarantineSettings::default()),
            suspicions: HashMap::new(),
            store_heard: None,
            store_failed: None,
            in_traffic: false,
            planning: false,
            next_turn: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the silence after which a head counts as stalled.
    pub(crate) fn stall_limit(&self, now: Time, id: &str) -> Duration {
        let Some(head) = self.roster.get(id) else {
            return STALL_LEAST;
        };
        let service = self.catalog.service(&head.service);
        let Some(engine) = service.and_then(|s| s.engine.as_ref()) else {
            return STALL_LEAST;
        };
        let model = engine
            .models
            .iter()
            .find(|m| Some(&m.name) == head.model.as_ref());
        let pace = model.map_or(1.0, |m| m.time_factor) * self.slowness(now, engine, head);
        max_event_gap(engine, pace)
            .mul_f64(STALL_PASSES)
            .max(STALL_LEAST)
    }

    /// Returns the factor by which a group is slower than published: it spans domains,
    /// or one of its members is slow.
    fn slowness(&self, now: Time, engine: &Engine, head: &Endpoint) -> f64 {
        let far = match self.roster.spans_domains(head) {
            true => engine.cross_domain_factor,
            false => 1.0,
        };
        let own = self.monitor.slowdown(now, &head.id, head.born);
        let told = self.peers.slowdown(now, load_key(&head.id));
        far.max(own).max(told)
    }

    /// Returns whether the store answered within this time and no record is
    /// missing that may be back. At the very start there is nothing to miss.
    pub(crate) fn in_touch(&self, now: Time, within: Duration) -> bool {
        let heard = self.store_heard.is_some_and(|t| now.since(t) < within);
        let failed = self
            .store_failed
            .is_some_and(|t| now.since(t) < STORE_AVOIDED);
        heard && !failed && self.has_roster && (!self.roster.is_incomplete(now) || !self.in_traffic)
    }

    /// Returns what all entries have in flight at an endpoint.
    fn batch(&self, now: Time, id: &Name) -> Batch {
        let own = self.loads.get(id).copied().unwrap_or_default();
        let (requests, unread) = self.peers.load(now, load_key(id));
        Batch {
            requests: f64::from(own.requests + requests),
            prefill_tokens: f64::from(own.unread + unread),
        }
    }

    pub(crate) fn vitality(&self, now: Time, endpoint: &Endpoint) -> Health {
        self.monitor.health(now, &endpoint.id, endpoint.born)
    }

    /// Returns the number of entries that may have work at endpoints. One that has just
    /// started hasn't heard most of them yet.
    fn entries(&self, now: Time) -> usize {
        let heard = self.peers.entry_count(now);
        match now < Time::ZERO + PEERS_UNHEARD {
            true => heard.max(1 + self.recorded),
            false => heard,
        }
    }

    /// Returns whether this entry has used up its part of a model's places while it
    /// doesn't know what the others have in flight: after a restart of all of them each
    /// sees empty heads.
    fn is_part_used(&self, now: Time, engine: &Engine, heads: &[Candidate]) -> bool {
        let entries = self.entries(now);
        if entries <= self.peers.entry_count(now) {
            return false;
        }
        let own = heads.iter().filter_map(|c| self.loads.get(&c.id));
        let own: u32 = own.map(|l| l.requests).sum();
        let places = heads.len() as f64 * f64::from(engine.slots);
        f64::from(own) >= (places / entries as f64).ceil()
    }

    fn has_cold_room(&self, now: Time, id: &Name, per_s: f64) -> bool {
        let entries = self.entries(now);
        let room = |a: &ColdLimiter| a.allows(now, per_s * COLD_PART, entries);
        per_s <= 0.0 || self.cold.get(id).is_none_or(room)
    }

    /// Chooses a head for a request; `avoid` names heads that failed it.
    pub(crate) fn place(
        &mut self,
        now: Time,
        data_centre: &str,
        key: &ModelKey,
        work: Work,
        room: SlotLimit,
        avoid: &[Name],
    ) -> Placement {
        let (service, model) = key;
        let catalog = self.catalog.clone();
        let known = catalog.service(service);
        let Some((known, engine)) = known.and_then(|s| s.engine.as_ref().map(|e| (s, e))) else {
            return Placement::Unavailable;
        };
        let pace = engine
            .models
            .iter()
            .find(|m| m.name == *model)
            .map_or(1.0, |m| m.time_factor);
        let usable = self
            .roster
            .leaders(service, model)
            .filter(|e| !avoid.contains(&e.id));
        let mut doubtful: SmallVec<[Candidate; 4]> = SmallVec::new();
        let mut candidates: SmallVec<[Candidate; 16]> = SmallVec::new();
        for head in usable {
            let candidate = Candidate {
                id: head.id.clone(),
                batch: self.batch(now, &head.id),
                local: &*head.data_centre == data_centre,
                slowdown: self.slowness(now, engine, head),
                cold_limited: !self.has_cold_room(now, &head.id, known.cold_per_s),
            };
            match self.vitality(now, head) {
                Health::Alive => candidates.push(candidate),
                Health::Suspect => doubtful.push(candidate),
                Health::Silent | Health::Dead => {}
            }
        }
        let entries = self.entries(now);
        let line = self.lines.get(key);
        let own_rate = line.map_or(0.0, |l| l.waiting.start_rate(now));
        let unheard = self.peers.interval().as_secs_f64();
        let settings = PlacementSettings {
            entries,
            // Callers choose entries at random, so the others have about as many.
            unseen_arrivals: own_rate * entries as f64 * unheard,
            ..PlacementSettings::default()
        };
        let chosen = if candidates.is_empty() {
            &doubtful[..]
        } else {
            &candidates[..]
        };
        if self.is_part_used(now, engine, chosen) {
            return Placement::Full;
        }
        choose_leader(&settings, engine, pace, chosen, work, room, &mut self.rng)
    }

    /// Chooses an endpoint of a plain service.
    pub(crate) fn place_plain(
        &mut self,
        now: Time,
        data_centre: &str,
        service: &str,
        tried: &[Name],
    ) -> PlainChoice {
        let mut endpoints: SmallVec<[PlainCandidate; 8]> = SmallVec::new();
        for endpoint in self.roster.of_service(service) {
            let vitality = self.vitality(now, endpoint);
            if vitality == Health::Dead {
                continue;
            }
            endpoints.push(PlainCandidate {
                id: endpoint.id.clone(),
                requests: self.batch(now, &endpoint.id).requests as u32,
                slots: endpoint.slots,
                local: &*endpoint.data_centre == data_centre,
                suspect: vitality != Health::Alive,
                tried: tried.contains(&endpoint.id),
            });
        }
        choose_plain_endpoint(&endpoints, &mut self.rng)
    }

    /// Counts a request in at an endpoint.
    pub(crate) fn on_sent(&mut self, now: Time, id: &Name, unread: u32) {
        let load = self.loads.entry(id.clone()).or_default();
        if load.requests == 0 {
            load.active = now;
        }
        load.requests += 1;
        load.unread += unread;
        self.cold.entry(id.clone()).or_default().on_sent(now);
    }

    /// Counts a request out at an endpoint; `unread` is its prompt if no event came.
    pub(crate) fn on_done(&mut self, id: &Name, unread: Option<u32>) {
        if let Some(load) = self.loads.get_mut(id) {
            load.requests = load.requests.saturating_sub(1);
            match unread {
                Some(unread) => load.unread = load.unread.saturating_sub(unread),
                None => load.writing = load.writing.saturating_sub(1),
            }
        }
    }

    /// Takes the first event of a request.
    pub(crate) fn on_first_event(&mut self, id: &Name, unread: u32) {
        if let Some(load) = self.loads.get_mut(id) {
            load.unread = load.unread.saturating_sub(unread);
            load.writing += 1;
        }
    }

    /// Takes one retry to a service out of the budget.
    pub(crate) fn take_retry(&mut self, now: Time, service: &Name, settings: &Settings) -> bool {
        let entries = self.entries(now);
        self.budget(service, settings).take_retry(now, entries)
    }

    /// Returns whether a retry to a service is left in the budget.
    pub(crate) fn has_retry(&mut self, now: Time, service: &Name, settings: &Settings) -> bool {
        let entries = self.entries(now);
        self.budget(service, settings).has_retry(now, entries)
    }

    /// Returns this entry's part of the retry budget of a service.
    pub(crate) fn budget(&mut self, service: &Name, settings: &Settings) -> &mut SharedRetryBudget {
        let fresh = || SharedRetryBudget::new(settings.bounds.retries);
        self.budgets.entry(service.clone()).or_insert_with(fresh)
    }

    /// Returns the line of requests for a model.
    pub(crate) fn line(&mut self, key: &ModelKey) -> &mut Line {
        let fresh = || Line {
            waiting: RequestQueue::new(QueueSettings::default()),
            wakers: HashMap::new(),
            firsts: FirstEventLatency::default(),
        };
        self.lines.entry(key.clone()).or_insert_with(fresh)
    }

    /// Takes the loss of an endpoint that ran a request.
    pub(crate) fn strike(&mut self, now: Time, fingerprint: Fingerprint, id: &Name, born: u64) {
        let incident = stable_hash([id.as_bytes(), &born.to_be_bytes()]);
        self.quarantine.strike(now, fingerprint, incident);
    }
}
