//! The state that the handlers and controllers of one daemon share.

mod guards;

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use arc_swap::ArcSwap;
use bulrushhoist_core::{
    Action, Allocation, Choice, DaemonPhase, Dispatcher, DispatcherSettings, EvidenceTable,
    Freshness, FreshnessSettings, Group, Incarnation, JoinState, JoinTracker, LoadReport, MemberId,
    Membership, MembershipSettings, NewRequest, ObjectCache, ObjectKey, Outcome, Reason, Refusal,
    RegisteredDaemon, RelayedEvidence, ReplicaKey, ReplicaView, RequestId, ShareStatement, Time,
    VmName, VmStatus,
};
use bulrushhoist_engine::EndpointApi;
use bulrushhoist_store::Store;
use rand::RngExt as _;
use slog::{Logger, info, warn};
use tokio::sync::oneshot;

use crate::clock::Clock;
use crate::controllers::PeerChannels;
use crate::losses::RecentLosses;
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::tickets::Tickets;
use crate::trace::Traces;
use crate::view::{View, has_parts};
pub(crate) use guards::OpenRequest;
use guards::WaitGuard;

/// The state machines of `bulrushhoist-core`, which make the decisions, under one lock.
pub(crate) struct Core {
    pub(crate) cache: ObjectCache,
    pub(crate) evidence: EvidenceTable,
    pub(crate) dispatcher: Dispatcher,
    pub(crate) freshness: Freshness,
    pub(crate) membership: Membership,
    /// Statements of the other daemons, until all of them have freed this daemon's
    /// shares.
    pub(crate) join_tracker: Option<JoinTracker>,
}

/// Sends the decision about a queued request to the task that waits for it.
type Waiter = oneshot::Sender<Result<Choice, Refusal>>;

/// One daemon: its identity, its clients and its state.
pub(crate) struct Node {
    pub(crate) settings: Settings,
    pub(crate) id: MemberId,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Clock,
    pub(crate) log: Logger,
    pub(crate) metrics: Metrics,
    pub(crate) store: Store,
    pub(crate) endpoints: Arc<dyn EndpointApi>,
    /// Client that forwards requests to other entries.
    pub(crate) forwarder: reqwest::Client,
    pub(crate) tickets: Arc<Tickets>,
    pub(crate) traces: Traces,
    pub(crate) peers: PeerChannels,
    pub(crate) recent_losses: RecentLosses,
    /// The current view, read without a lock and replaced as a unit.
    view: ArcSwap<View>,
    core: Mutex<Core>,
    /// Tasks that wait for the dispatcher's decision about their request.
    waiters: Mutex<HashMap<RequestId, Waiter>>,
    /// Whether this daemon is registered and may start requests.
    joined: AtomicBool,
    /// Whether a planned stop has begun.
    stopping: AtomicBool,
    /// Whether new requests are refused, the later part of a planned stop.
    refusing: AtomicBool,
    /// Number of callers' requests in progress.
    open_requests: AtomicUsize,
}

impl Node {
    pub(crate) fn new(
        settings: Settings,
        log: Logger,
        metrics: Metrics,
        store: Store,
        endpoints: Arc<dyn EndpointApi>,
        forwarder: reqwest::Client,
    ) -> Arc<Self> {
        let id = MemberId::new(rand::rng().random());
        let incarnation = Incarnation::from(rand::rng().random::<u128>());
        let dispatcher = DispatcherSettings {
            seed: rand::rng().random(),
            ..DispatcherSettings::default()
        };
        let freshness = FreshnessSettings {
            lifetime: settings.timing.freshness_ttl,
        };
        let core = Core {
            cache: ObjectCache::default(),
            evidence: EvidenceTable::new(settings.timing.evidence_ttl),
            dispatcher: Dispatcher::new(dispatcher, id),
            freshness: Freshness::new(freshness, id),
            membership: Membership::new(MembershipSettings::default(), id),
            join_tracker: None,
        };
        Arc::new(Self {
            tickets: Tickets::new(settings.caller_address, incarnation),
            settings,
            id,
            incarnation,
            clock: Clock::start(),
            log,
            metrics,
            store,
            endpoints,
            forwarder,
            traces: Traces::default(),
            peers: PeerChannels::default(),
            recent_losses: RecentLosses::default(),
            view: ArcSwap::default(),
            core: Mutex::new(core),
            waiters: Mutex::new(HashMap::new()),
            joined: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            refusing: AtomicBool::new(false),
            open_requests: AtomicUsize::new(0),
        })
    }

    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    pub(crate) fn view(&self) -> arc_swap::Guard<Arc<View>> {
        self.view.load()
    }

    pub(crate) fn core(&self) -> MutexGuard<'_, Core> {
        self.core
            .lock()
            .expect("no thread panics while it holds the lock")
    }

    /// Builds this daemon's record for the register.
    pub(crate) fn record(&self, phase: DaemonPhase) -> RegisteredDaemon {
        RegisteredDaemon {
            id: self.id,
            incarnation: self.incarnation,
            data_centre: self.settings.data_centre.clone(),
            caller_address: self.settings.caller_address,
            peer_address: self.settings.peer_address,
            operator_address: self.settings.operator_address,
            phase,
        }
    }

    /// Adds copies of shared objects to the cache and puts newer ones in force.
    pub(crate) fn adopt_objects<'a>(
        &self,
        copies: impl IntoIterator<Item = (&'a ObjectKey, &'a str)>,
    ) {
        let mut core = self.core();
        let mut changed = false;
        let mut manifest = None;
        for (key, json) in copies {
            if *key == ObjectKey::manifest() {
                manifest = Some((key, json));
                continue;
            }
            changed |= core.cache.insert_newer(key, json);
        }
        // The manifest is cached only once all its parts are, so that a cached
        // configuration is always complete.
        if let Some((key, json)) = manifest
            && has_parts(&core.cache, json)
        {
            changed |= core.cache.insert_newer(key, json);
        }
        if changed {
            self.refresh_view(&mut core);
        }
    }

    /// Rebuilds the view from the cache and updates everything derived from it.
    fn refresh_view(&self, core: &mut Core) {
        let before = self.view.load();
        let (view, configuration) = View::read(&core.cache, &before, self.id);
        if let Err(problems) = configuration {
            warn!(self.log, "stored configuration fails its check"; "problems" => %problems);
        }
        if view.generation > before.generation {
            info!(self.log, "configuration in force"; "generation" => %view.generation);
            self.metrics.set_generation(view.generation.get());
        }
        let now = self.now();
        core.membership.set_register(now, &view.register);
        core.freshness
            .set_committee(view.register.committee(self.settings.committee_size));
        let groups = view.groups();
        let replicas = groups.map(|(a, group)| ReplicaView {
            data_centre: &a.data_centre,
            group,
        });
        core.dispatcher.reconfigure(
            &view.deployment,
            &view.service,
            &view.register,
            &self.settings.data_centre,
            replicas,
        );
        self.view.store(Arc::new(view));
        self.refresh_join_state(core);
        self.refresh_serving(core, now);
    }

    /// Recomputes which groups have fresh evidence and may take work.
    pub(crate) fn refresh_serving(&self, core: &mut Core, now: Time) {
        let view = self.view.load();
        let mut serving = 0;
        for (allocation, group) in view.groups() {
            serving += usize::from(refresh_group(core, now, allocation, group));
        }
        self.metrics.set_serving(serving);
    }

    /// Records an endpoint's report and recomputes whether its group may take work.
    pub(crate) fn record_report(&self, vm: &VmName, sent: Time, status: VmStatus) {
        let view = self.view.load();
        let mut core = self.core();
        core.evidence.record(vm, sent, status.clone());
        let Some((allocation, group)) = view.group_of(vm) else {
            return;
        };
        refresh_group(&mut core, self.now(), allocation, group);
        if group.members.first().is_some_and(|m| m.vm == *vm) {
            let key = replica_key(allocation, group);
            core.dispatcher
                .router_mut()
                .on_report(&key, sent, (&status).into());
        }
    }

    /// Records another daemon's report about a group.
    pub(crate) fn record_relayed_report(
        &self,
        key: &ReplicaKey,
        evidence: RelayedEvidence,
        load_as_of: Time,
        load: LoadReport,
    ) {
        let view = self.view.load();
        let mut core = self.core();
        core.evidence.record_relayed(key, evidence);
        if let Some((allocation, group)) = view.group(key) {
            refresh_group(&mut core, self.now(), allocation, group);
            core.dispatcher
                .router_mut()
                .on_report(key, load_as_of, load);
        }
    }

    /// Records another daemon's statement about its requests in flight.
    pub(crate) fn record_statement(&self, from: MemberId, statement: ShareStatement) {
        let mut core = self.core();
        if let Some(join_tracker) = &mut core.join_tracker {
            join_tracker.on_statement(from, statement);
            self.refresh_join_state(&mut core);
        }
    }

    /// Recomputes at which replicas this daemon may use its share, by the statements of
    /// the others.
    pub(crate) fn refresh_join_state(&self, core: &mut Core) {
        let Some(join_tracker) = &core.join_tracker else {
            return;
        };
        let view = self.view.load();
        let others = view.register.share_holders().filter(|id| *id != self.id);
        let join_state = join_tracker.state(others);
        if join_state == JoinState::Joined {
            core.join_tracker = None;
        }
        core.dispatcher.router_mut().set_join_state(join_state);
    }

    /// Allows this daemon to use all its shares, whatever the others have stated.
    pub(crate) fn use_all_shares(&self) {
        let mut core = self.core();
        core.join_tracker = None;
        core.dispatcher
            .router_mut()
            .set_join_state(JoinState::Joined);
    }

    /// Discards the evidence of a VM that lost a request: its group takes no work until
    /// newer reports arrive.
    pub(crate) fn invalidate_evidence(&self, vm: &VmName) {
        let view = self.view.load();
        let mut core = self.core();
        let now = self.now();
        core.evidence.invalidate(vm, now);
        if let Some((allocation, group)) = view.group_of(vm) {
            refresh_group(&mut core, now, allocation, group);
        }
    }

    /// Recomputes until when new requests may start.
    ///
    /// That is for the freshness TTL after the proof of a current configuration, and
    /// not before this daemon has joined.
    pub(crate) fn refresh_freshness(&self, core: &mut Core) {
        let now = self.now();
        let joined = self.joined.load(Ordering::Relaxed);
        let until = match core.freshness.age(now) {
            Some(age) if joined => now - age + self.settings.timing.freshness_ttl,
            _ => Time::ZERO,
        };
        core.dispatcher.set_fresh_until(until);
        self.metrics.set_fresh(now < until);
    }

    /// Queues a request and waits until it is assigned to a replica or refused.
    ///
    /// Dropping the future cancels the request.
    pub(crate) async fn acquire_replica(&self, request: NewRequest) -> Result<Choice, Refusal> {
        let id = request.id;
        let (waiter, decision) = oneshot::channel();
        self.waiters().insert(id, waiter);
        let guard = WaitGuard::new(self, id);
        let actions = self.core().dispatcher.submit(self.now(), request);
        self.apply_actions(actions);
        let result = decision.await;
        guard.disarm();
        // The sender is dropped without a result only when the daemon shuts down.
        result.unwrap_or(Err(Refusal::not_run(Reason::Draining)))
    }

    /// Takes a queued request back so that it can be forwarded. Its wait ends with
    /// [`Reason::NoShare`], unless it has started.
    pub(crate) fn release_queued(&self, id: RequestId) {
        let actions = self.core().dispatcher.release_queued(id);
        self.apply_actions(actions);
    }

    fn waiters(&self) -> MutexGuard<'_, HashMap<RequestId, Waiter>> {
        self.waiters
            .lock()
            .expect("no thread panics while it holds the lock")
    }

    /// Sends the dispatcher's decisions to the waiting requests.
    pub(crate) fn apply_actions(&self, actions: impl IntoIterator<Item = Action>) {
        for action in actions {
            let (id, result) = match action {
                Action::Start(id, choice) => (id, Ok(choice)),
                Action::Refuse(id, refusal) => (id, Err(refusal)),
            };
            let Some(waiter) = self.waiters().remove(&id) else {
                continue;
            };
            let started = result.is_ok();
            if waiter.send(result).is_err() && started {
                self.finish(id, Outcome::Cancelled);
            }
        }
    }

    /// Reports the end of a started request and starts others in the freed slot.
    pub(crate) fn finish(&self, id: RequestId, outcome: Outcome) {
        let actions = self.core().dispatcher.finish(self.now(), id, outcome);
        self.apply_actions(actions);
    }

    /// Advances everything that depends on time, and starts or refuses queued requests.
    pub(crate) fn tick(&self) {
        let now = self.now();
        let actions = {
            let mut core = self.core();
            core.membership.tick(now);
            self.refresh_freshness(&mut core);
            let (busy, queued) = (core.dispatcher.active(), core.dispatcher.queued());
            self.metrics.set_load(busy, queued);
            core.dispatcher.tick(now)
        };
        self.apply_actions(actions);
    }

    /// Adds a step to a request's trace.
    pub(crate) fn trace(&self, id: RequestId, what: impl Into<String>) {
        self.traces.record(self.now(), id, what.into());
    }

    /// Allows requests to start once the configuration is proven current.
    pub(crate) fn set_joined(&self) {
        self.joined.store(true, Ordering::Relaxed);
    }

    /// Removes this daemon from answers to `GET /v1/entries`; requests are still accepted.
    pub(crate) fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Refuses new requests from now on.
    pub(crate) fn set_refusing(&self) {
        self.refusing.store(true, Ordering::Relaxed);
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    pub(crate) fn is_refusing(&self) -> bool {
        self.refusing.load(Ordering::Relaxed)
    }

    /// Returns whether this daemon has joined, has a current configuration and is not
    /// stopping.
    pub(crate) fn is_ready(&self) -> bool {
        let now = self.now();
        let fresh = self.core().freshness.is_fresh(now);
        let configured = self.view().generation.get() > 0;
        fresh && configured && self.joined.load(Ordering::Relaxed) && !self.is_stopping()
    }

    /// Returns whether as many replicas are serving as are declared.
    pub(crate) fn is_fully_serving(&self) -> bool {
        let view = self.view();
        let core = self.core();
        let now = self.now();
        let serving = view
            .groups()
            .filter(|(a, group)| {
                let key = replica_key(a, group);
                core.evidence
                    .serving_until_with_relayed(now, &key, group)
                    .is_ok()
            })
            .count();
        let workloads = view.deployment.workloads.values();
        let declared: u32 = workloads.flat_map(|w| w.replicas.values()).sum();
        declared > 0 && serving >= declared as usize
    }

    /// Counts a request as in progress; returns `None` if there are too many.
    pub(crate) fn open_request(self: &Arc<Self>) -> Option<OpenRequest> {
        let open = self.open_requests.fetch_add(1, Ordering::Relaxed);
        let guard = OpenRequest::new(self);
        (open < self.settings.limits.max_requests).then_some(guard)
    }

    pub(crate) fn open_requests(&self) -> usize {
        self.open_requests.load(Ordering::Relaxed)
    }
}

/// Returns the key that identifies a group in all data centres.
pub(crate) fn replica_key(allocation: &Allocation, group: &Group) -> ReplicaKey {
    ReplicaKey {
        data_centre: allocation.data_centre.clone(),
        number: group.number,
    }
}

/// Recomputes until when a group may take work; returns whether it may now.
fn refresh_group(core: &mut Core, now: Time, allocation: &Allocation, group: &Group) -> bool {
    let key = replica_key(allocation, group);
    let until = core
        .evidence
        .serving_until_with_relayed(now, &key, group)
        .ok();
    core.dispatcher.router_mut().set_serving(&key, until);
    until.is_some()
}
