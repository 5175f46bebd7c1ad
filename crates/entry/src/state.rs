//! The mutable state of an entry, and the routing decisions made from it.
//!
//! The state is in a `RefCell`: it is borrowed for one decision and never across an
//! await point, so that no two tasks borrow it at once.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bulrushhoist_core::Time;
use bulrushhoist_fleet::{
    Allowance, Batch, Catalog, ColdLimiter, Departure, Endpoint, EndpointContact, Engine, Health,
    HealthMonitor, HealthSettings, LeaderFitness, MAX_PAUSE, Membership, Name, NamedLimits, Pauses,
    Quarantine, QuarantineSettings, RequestTimes, Roster, SendsByUse, SharedRetryBudget,
    SharedRetryBudgetSettings as RetryBounds, StoreContact, Work, max_event_gap, name_key,
};
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};

use crate::history::ConfigurationOrigin;
use crate::queues::{ModelKey, ModelQueue};
/// Shortest time without an event on any stream of a leader after which the leader
/// counts as stalled. A lost packet is retransmitted within half of this time, so packet
/// loss alone does not look like a stall.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(450);
/// Multiple of the largest gap between two events of a healthy leader that the time
/// without events must exceed before the leader counts as stalled.
const STALL_GAP_FACTOR: f64 = 2.5;
/// Maximum age of the store's last answer at which an entry may plan.
const MAX_STORE_AGE: Duration = Duration::from_millis(2_500);

/// Factor on the published request rate of a cold endpoint before it is divided among the
/// entries. Entries that are joining or restarting are not in their count yet.
pub(crate) const COLD_RATE_FACTOR: f64 = 1.2;

/// Time after a pause for which its endpoint is treated as cold.
const RESUMPTION_TIME: Duration = Duration::from_secs(2);

/// Longest time for which a limit is expected to hold requests back. Callers of an entry
/// that holds no share of it come back then, and likely to another entry.
pub(crate) const MAX_LIMITED_TIME: Duration = Duration::from_millis(1_500);

/// Why an endpoint takes no request of this entry now, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeldBack {
    /// It asked for a pause, or rejected a request.
    Paused(Duration),
    /// It has reached the limit that it named.
    Limited(Duration),
}

impl HeldBack {
    pub(crate) const fn time(self) -> Duration {
        match self {
            Self::Paused(time) | Self::Limited(time) => time,
        }
    }

    /// Returns the one that ends first.
    pub(crate) fn sooner(self, other: Self) -> Self {
        match other.time() < self.time() {
            true => other,
            false => self,
        }
    }
}

/// What this entry reports of an endpoint that it suspects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OwnSuspicion {
    pub(crate) incarnation: u64,
    /// When the last failure was seen.
    pub(crate) at: Time,
    /// Whether nothing but rejections caused it, which an accepted request disproves.
    pub(crate) is_rejection: bool,
}

/// Whether the entry takes callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It takes callers once it has a configuration and the endpoint records.
    Serving,
    /// It was told to stop, and new callers go to other entries.
    Leaving {
        /// When it was told to stop.
        since: Time,
    },
}

/// Requests that this entry has in flight at one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LocalLoad {
    pub(crate) requests: u32,
    /// Prompt tokens of the requests without a first event.
    pub(crate) prefill_tokens: u32,
    /// Requests whose first event has arrived.
    pub(crate) streaming: u32,
    /// When the endpoint last sent data, or got a request while it had none.
    pub(crate) last_active: Time,
}

/// The mutable state of an entry: what it knows of the store, the endpoints and its
/// peers, and its own requests.
pub(crate) struct State {
    pub(crate) phase: Phase,
    pub(crate) catalog: Rc<Catalog>,
    pub(crate) catalog_origin: ConfigurationOrigin,
    /// Whether the endpoint records have been listed.
    pub(crate) has_roster: bool,
    pub(crate) roster: Roster,
    pub(crate) monitor: HealthMonitor,
    pub(crate) peers: Membership,
    /// Whether the records of the other entries have been listed.
    pub(crate) has_entries: bool,
    /// Requests of this entry, by endpoint.
    pub(crate) loads: HashMap<Name, LocalLoad>,
    /// Times of the requests of this entry, by model of the latency-critical services.
    pub(crate) request_times: HashMap<ModelKey, RequestTimes>,
    /// Requests that were sent to leaders of these services, by the predicted use of the
    /// leader, since the metrics last took them.
    pub(crate) sends_by_use: SendsByUse,
    /// Limits on the requests that this entry sends to cold endpoints, by endpoint.
    pub(crate) cold: HashMap<Name, ColdLimiter>,
    pub(crate) queues: HashMap<ModelKey, ModelQueue>,
    /// This entry's share of the retry budgets, by service.
    pub(crate) budgets: HashMap<Name, SharedRetryBudget>,
    pub(crate) quarantine: Quarantine,
    /// The last failure that this entry saw, by endpoint.
    pub(crate) suspicions: HashMap<Name, OwnSuspicion>,
    /// Endpoints that have said that they leave, and when this entry heard of it.
    pub(crate) departures: Vec<(Departure, Time)>,
    /// Pauses that endpoints asked this entry for.
    pub(crate) pauses: Pauses,
    /// Rates that endpoints name for all entries together.
    pub(crate) limits: NamedLimits,
    /// Leaders that are excluded because they rejected requests.
    pub(crate) fitness: LeaderFitness,
    pub(crate) contact: StoreContact,
    /// Whether this entry has a way to the endpoints.
    pub(crate) endpoint_contact: EndpointContact,
    /// Whether any entry has had a request yet.
    pub(crate) traffic_seen: bool,
    /// Whether this entry is the one that plans groups.
    pub(crate) planning: bool,
    /// Id of the request that was queued last.
    pub(crate) last_queue_id: u64,
    pub(crate) rng: SmallRng,
}

impl State {
    pub(crate) fn new(seed: u64, peers: Membership) -> Self {
        Self {
            phase: Phase::Serving,
            catalog: Rc::default(),
            catalog_origin: ConfigurationOrigin::default(),
            has_roster: false,
            roster: Roster::default(),
            monitor: HealthMonitor::new(HealthSettings::default()),
            peers,
            has_entries: false,
            loads: HashMap::new(),
            request_times: HashMap::new(),
            sends_by_use: SendsByUse::default(),
            cold: HashMap::new(),
            queues: HashMap::new(),
            budgets: HashMap::new(),
            quarantine: Quarantine::new(QuarantineSettings::default()),
            suspicions: HashMap::new(),
            departures: Vec::new(),
            pauses: Pauses::default(),
            limits: NamedLimits::default(),
            fitness: LeaderFitness::default(),
            contact: StoreContact::default(),
            endpoint_contact: EndpointContact::default(),
            traffic_seen: false,
            planning: false,
            last_queue_id: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the time without events after which a leader counts as stalled.
    pub(crate) fn stall_timeout(&self, now: Time, id: &str) -> Duration {
        let Some((engine, time_factor)) = self.engine_times(now, id) else {
            return MIN_STALL_TIMEOUT;
        };
        max_event_gap(engine, time_factor)
            .mul_f64(STALL_GAP_FACTOR)
            .max(MIN_STALL_TIMEOUT)
    }

    /// Returns the engine of a leader and the leader's factor on its published times.
    pub(crate) fn engine_times(&self, now: Time, id: &str) -> Option<(&Engine, f64)> {
        let leader = self.roster.get(id)?;
        let engine = self.catalog.service(&leader.service)?.engine.as_ref()?;
        let mut models = engine.models.iter();
        let model = models.find(|m| Some(&m.name) == leader.model.as_ref());
        let factor = model.map_or(1.0, |m| m.time_factor);
        Some((engine, factor * self.slowdown(now, engine, leader)))
    }

    /// Returns the factor by which a group is slower than its published times. Groups that
    /// span fabric domains and groups with a slow member are slower.
    pub(crate) fn slowdown(&self, now: Time, engine: &Engine, leader: &Endpoint) -> f64 {
        let domain_factor = match self.roster.spans_domains(leader) {
            true => engine.cross_domain_factor,
            false => 1.0,
        };
        let own = self.monitor.slowdown(now, &leader.id, leader.incarnation);
        let reported = self.peers.slowdown(name_key(&leader.id));
        domain_factor.max(own).max(reported)
    }

    /// Returns whether this entry may plan as far as the store is concerned: the store
    /// itself answers it, and the endpoint records are complete. They may be incomplete for a
    /// while after a store outage, which is ignored until the first request: a new
    /// deployment has nothing to miss.
    pub(crate) fn is_synced(&self, now: Time) -> bool {
        self.contact.may_plan(now, MAX_STORE_AGE)
            && self.has_roster
            && (!self.roster.is_incomplete(now) || !self.traffic_seen)
    }

    /// Returns the requests that all entries have in flight at an endpoint.
    pub(crate) fn batch(&self, now: Time, id: &Name) -> Batch {
        let own = self.own_batch(id);
        let (requests, prefill_tokens) = self.peers.load(now, name_key(id));
        Batch {
            requests: own.requests + f64::from(requests),
            prefill_tokens: own.prefill_tokens + f64::from(prefill_tokens),
        }
    }

    /// Returns the requests that this entry has in flight at an endpoint.
    pub(crate) fn own_batch(&self, id: &Name) -> Batch {
        let own = self.loads.get(id).copied().unwrap_or_default();
        Batch {
            requests: f64::from(own.requests),
            prefill_tokens: f64::from(own.prefill_tokens),
        }
    }

    /// Returns the health of an endpoint, from requests and probes.
    pub(crate) fn health(&self, now: Time, endpoint: &Endpoint) -> Health {
        self.monitor.health(now, &endpoint.id, endpoint.incarnation)
    }

    /// Returns the number of entries that may have requests at endpoints.
    pub(crate) fn entries(&self, now: Time) -> usize {
        self.peers.entry_count(now)
    }

    /// Returns why and how long this entry may not send an endpoint a request.
    pub(crate) fn held_back(&self, now: Time, endpoint: &Endpoint) -> Option<HeldBack> {
        let (id, incarnation) = (&endpoint.id, endpoint.incarnation);
        if let Some(remaining) = self.pauses.remaining(now, id, incarnation) {
            return Some(HeldBack::Paused(remaining));
        }
        if let Some(remaining) = self.fitness.remaining(now, id, incarnation) {
            return Some(HeldBack::Paused(remaining));
        }
        match self.limits.allowance(now, id, incarnation) {
            Allowance::Free => None,
            Allowance::After(time) => Some(HeldBack::Limited(time)),
            Allowance::HeldByOthers => Some(HeldBack::Limited(MAX_LIMITED_TIME)),
        }
    }

    /// Sets this entry's share of one endpoint's limit.
    pub(crate) fn refresh_limit(&mut self, now: Time, id: &str) {
        let peers = &self.peers;
        let holds = |count| peers.rate_holders(now, name_key(id), count);
        self.limits.set_share(now, id, holds);
    }

    /// Sets this entry's shares of the limits by the entries that are alive now.
    pub(crate) fn refresh_limits(&mut self, now: Time) {
        let peers = &self.peers;
        let holds = |id: &Name, count| peers.rate_holders(now, name_key(id), count);
        self.limits.refresh(now, holds);
    }

    /// Records a pause that an endpoint asked for. After it the endpoint gets its load as a
    /// cold one does, and not all that has waited at one moment. Returns whether it is
    /// longer than one before.
    pub(crate) fn pause(&mut self, now: Time, endpoint: &Endpoint, time: Duration) -> bool {
        let (id, incarnation) = (&endpoint.id, endpoint.incarnation);
        let longer = self.pauses.pause(now, id, incarnation, time);
        if longer {
            let until = now + time.min(MAX_PAUSE) + RESUMPTION_TIME;
            let share = self.peers.cold_share(now, name_key(id));
            let limiter = self.cold.entry(id.clone()).or_default();
            limiter.set_cold(now, until, self.rng.random(), share);
        }
        longer
    }

    /// Counts a request that is sent to an endpoint, with the unread tokens of its prompt.
    pub(crate) fn on_sent(&mut self, now: Time, id: &Name, prefill_tokens: u32, work: Work) {
        self.record_send(now, id, work);
        let load = self.loads.entry(id.clone()).or_default();
        if load.requests == 0 {
            load.last_active = now;
        }
        load.requests += 1;
        load.prefill_tokens = load.prefill_tokens.saturating_add(prefill_tokens);
        self.cold.entry(id.clone()).or_default().on_sent(now);
    }

    /// Removes an ended request from an endpoint's load, `took` after its send.
    /// `prefill_tokens` is the number of its prompt tokens if no event arrived.
    pub(crate) fn on_done(&mut self, id: &Name, prefill_tokens: Option<u32>, took: Duration) {
        if prefill_tokens.is_none() {
            self.record_end(id, took);
        }
        if let Some(load) = self.loads.get_mut(id) {
            load.requests = load.requests.saturating_sub(1);
            match prefill_tokens {
                Some(prefill_tokens) => {
                    load.prefill_tokens = load.prefill_tokens.saturating_sub(prefill_tokens)
                }
                None => load.streaming = load.streaming.saturating_sub(1),
            }
        }
    }

    /// Records the first event of a request, after which its prompt has been read.
    pub(crate) fn on_first_event(&mut self, id: &Name, prefill_tokens: u32) {
        if let Some(load) = self.loads.get_mut(id) {
            load.prefill_tokens = load.prefill_tokens.saturating_sub(prefill_tokens);
            load.streaming += 1;
        }
    }

    /// Takes one retry from the retry budget of a service, if one is left.
    pub(crate) fn take_retry(&mut self, now: Time, service: &Name, bounds: RetryBounds) -> bool {
        let entries = self.entries(now);
        self.budget(service, bounds).take_retry(now, entries)
    }

    /// Returns whether the retry budget of a service has a retry left, without taking it.
    pub(crate) fn has_retry(&mut self, now: Time, service: &Name, bounds: RetryBounds) -> bool {
        let entries = self.entries(now);
        self.budget(service, bounds).has_retry(now, entries)
    }

    /// Returns this entry's share of the retry budget of a service.
    pub(crate) fn budget(&mut self, service: &Name, bounds: RetryBounds) -> &mut SharedRetryBudget {
        let fresh = || SharedRetryBudget::new(bounds);
        let budget = self.budgets.entry(service.clone()).or_insert_with(fresh);
        budget.set_bounds(bounds);
        budget
    }

    /// Records a failure of an endpoint for the reports to the other entries.
    pub(crate) fn note_suspicion(
        &mut self,
        now: Time,
        endpoint: &Name,
        incarnation: u64,
        is_rejection: bool,
    ) {
        let known = self.suspicions.get(endpoint);
        let known = known.filter(|s| s.incarnation == incarnation);
        let suspicion = OwnSuspicion {
            incarnation,
            at: now,
            is_rejection: is_rejection && known.is_none_or(|s| s.is_rejection),
        };
        self.suspicions.insert(endpoint.clone(), suspicion);
    }

    /// Returns the queue of a model that is configured or led by an endpoint. Callers name
    /// models freely and a queue is kept for good, so other models get none.
    pub(crate) fn known_queue(&mut self, key: &ModelKey) -> Option<&mut ModelQueue> {
        let (service, model) = key;
        let engine = self.catalog.service(service)?.engine.as_ref()?;
        let is_known = engine.models.iter().any(|m| m.name == *model)
            || self.roster.leaders(service, model).next().is_some();
        is_known.then(|| self.queue(key))
    }

    /// Returns the queue of a model.
    pub(crate) fn queue(&mut self, key: &ModelKey) -> &mut ModelQueue {
        self.queues.entry(key.clone()).or_default()
    }
}
