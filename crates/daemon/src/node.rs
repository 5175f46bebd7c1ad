//! Everything that the parts of one daemon share.

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
use crate::losses::Losses;
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::tickets::Tickets;
use crate::trace::Traces;
use crate::view::{View, has_parts};

/// The decisions' state, under one lock.
pub(crate) struct Core {
    pub(crate) cache: ObjectCache,
    pub(crate) evidence: EvidenceTable,
    pub(crate) dispatcher: Dispatcher,
    pub(crate) freshness: Freshness,
    pub(crate) membership: Membership,
    /// What the others stated, while this daemon waits for them to make room.
    pub(crate) newcomer: Option<JoinTracker>,
}

type Starter = oneshot::Sender<Result<Choice, Refusal>>;

/// One daemon.
pub(crate) struct Node {
    pub(crate) settings: Settings,
    pub(crate) id: MemberId,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Clock,
    pub(crate) log: Logger,
    pub(crate) metrics: Metrics,
    pub(crate) store: Store,
    pub(crate) endpoints: Arc<dyn EndpointApi>,
    pub(crate) forwarder: reqwest::Client,
    pub(crate) tickets: Arc<Tickets>,
    pub(crate) traces: Traces,
    pub(crate) peers: PeerChannels,
    pub(crate) losses: Losses,
    view: ArcSwap<View>,
    core: Mutex<Core>,
    waiting: Mutex<HashMap<RequestId, Starter>>,
    joined: AtomicBool,
    stopping: AtomicBool,
    refusing: AtomicBool,
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
            newcomer: None,
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
            losses: Losses::default(),
            view: ArcSwap::default(),
            core: Mutex::new(core),
            waiting: Mutex::new(HashMap::new()),
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

    /// Returns this daemon's record for the register.
    pub(crate) fn record(&self, phase: DaemonPhase) -> RegisteredDaemon {
        RegisteredDaemon {
            id: self.id,
            incarnation: self.incarnation,
            data_centre: self.settings.data_centre.clone(),
            caller: self.settings.caller_address,
            peer: self.settings.peer_address,
            operator: self.settings.operator_address,
            phase,
        }
    }

    /// Takes copies of shared objects and puts newer ones in force.
    pub(crate) fn adopt<'a>(&self, copies: impl IntoIterator<Item = (&'a ObjectKey, &'a str)>) {
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
        // A configuration is held only once it is held whole.
        if let Some((key, json)) = manifest
            && has_parts(&core.cache, json)
        {
            changed |= core.cache.insert_newer(key, json);
        }
        if changed {
            self.apply_cache(&mut core);
        }
    }

    fn apply_cache(&self, core: &mut Core) {
        let before = self.view.load();
        let (view, configuration) = View::read(&core.cache, &before, self.id);
        if let Err(problems) = configuration {
            warn!(self.log, "accepted configuration fails its check"; "problems" => %problems);
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
        self.refresh_standing(core);
        self.refresh_serving(core, now);
    }

    /// Recomputes which replicas have fresh evidence.
    pub(crate) fn refresh_serving(&self, core: &mut Core, now: Time) {
        let view = self.view.load();
        let mut serving = 0;
        for (allocation, group) in view.groups() {
            serving += usize::from(refresh_group(core, now, allocation, group));
        }
        self.metrics.set_serving(serving);
    }

    /// Takes an endpoint's report and recomputes its group.
    pub(crate) fn take_report(&self, vm: &VmName, sent: Time, status: VmStatus) {
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

    /// Takes another daemon's finding about a group.
    pub(crate) fn take_relayed(
        &self,
        key: &ReplicaKey,
        evidence: RelayedEvidence,
        load_dated: Time,
        load: LoadReport,
    ) {
        let view = self.view.load();
        let mut core = self.core();
        core.evidence.record_relayed(key, evidence);
        if let Some((allocation, group)) = view.group(key) {
            refresh_group(&mut core, self.now(), allocation, group);
            core.dispatcher
                .router_mut()
                .on_report(key, load_dated, load);
        }
    }

    /// Takes another daemon's statement of its requests in flight.
    pub(crate) fn take_statement(&self, from: MemberId, statement: ShareStatement) {
        let mut core = self.core();
        if let Some(newcomer) = &mut core.newcomer {
            newcomer.on_statement(from, statement);
            self.refresh_standing(&mut core);
        }
    }

    /// Uses the shares at which the others have made room.
    pub(crate) fn refresh_standing(&self, core: &mut Core) {
        let Some(newcomer) = &core.newcomer else {
            return;
        };
        let view = self.view.load();
        let others = view.register.sharers().filter(|id| *id != self.id);
        let standing = newcomer.state(others);
        if standing == JoinState::Joined {
            core.newcomer = None;
        }
        core.dispatcher.router_mut().set_join_state(standing);
    }

    /// Uses all shares from here on, whatever the others have stated.
    pub(crate) fn settle(&self) {
        let mut core = self.core();
        core.newcomer = None;
        core.dispatcher
            .router_mut()
            .set_join_state(JoinState::Joined);
    }

    /// Takes the loss of a request to an endpoint: its group is out of use
    /// until newer reports come.
    pub(crate) fn distrust(&self, vm: &VmName) {
        let view = self.view.load();
        let mut core = self.core();
        let now = self.now();
        core.evidence.invalidate(vm, now);
        if let Some((allocation, group)) = view.group_of(vm) {
            refresh_group(&mut core, now, allocation, group);
        }
    }

    /// Extends or ends the time for which new work may be taken.
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

    /// Asks for a replica and waits for one.
    pub(crate) async fn acquire(&self, request: NewRequest) -> Result<Choice, Refusal> {
        let id = request.id;
        let (starter, started) = oneshot::channel();
        self.waiting().insert(id, starter);
        let guard = WaitGuard {
            node: self,
            id,
            armed: true,
        };
        let events = self.core().dispatcher.submit(self.now(), request);
        self.carry_out(events);
        let result = started.await;
        guard.disarm();
        // The sender is dropped only together with the daemon.
        result.unwrap_or(Err(Refusal::not_run(Reason::Draining)))
    }

    fn waiting(&self) -> MutexGuard<'_, HashMap<RequestId, Starter>> {
        self.waiting
            .lock()
            .expect("no thread panics while it holds the lock")
    }

    /// Tells the waiting requests what was decided about them.
    pub(crate) fn carry_out(&self, events: impl IntoIterator<Item = Action>) {
        for event in events {
            let (id, result) = match event {
                Action::Start(id, choice) => (id, Ok(choice)),
                Action::Refuse(id, refusal) => (id, Err(refusal)),
            };
            let Some(starter) = self.waiting().remove(&id) else {
                continue;
            };
            let started = result.is_ok();
            if starter.send(result).is_err() && started {
                self.finish(id, Outcome::Cancelled);
            }
        }
    }

    /// Reports the end of a started request and starts others in its place.
    pub(crate) fn finish(&self, id: RequestId, outcome: Outcome) {
        let events = self.core().dispatcher.finish(self.now(), id, outcome);
        self.carry_out(events);
    }

    /// Starts and refuses waiting requests as time and reports allow.
    pub(crate) fn tick(&self) {
        let now = self.now();
        let events = {
            let mut core = self.core();
            core.membership.tick(now);
            self.refresh_freshness(&mut core);
            let (busy, queued) = (core.dispatcher.busy(), core.dispatcher.queued());
            self.metrics.set_load(busy, queued);
            core.dispatcher.tick(now)
        };
        self.carry_out(events);
    }

    pub(crate) fn note(&self, id: RequestId, what: impl Into<String>) {
        self.traces.note(self.now(), id, what.into());
    }

    pub(crate) fn set_joined(&self) {
        self.joined.store(true, Ordering::Relaxed);
    }

    /// Leaves the entries answers; requests are still taken.
    pub(crate) fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Takes no new requests from here on.
    pub(crate) fn set_refusing(&self) {
        self.refusing.store(true, Ordering::Relaxed);
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    pub(crate) fn is_refusing(&self) -> bool {
        self.refusing.load(Ordering::Relaxed)
    }

    pub(crate) fn is_ready(&self) -> bool {
        let now = self.now();
        let fresh = self.core().freshness.is_fresh(now);
        let configured = self.view().generation.get() > 0;
        fresh && configured && self.joined.load(Ordering::Relaxed) && !self.is_stopping()
    }

    /// Returns whether every declared replica is formed and serving.
    pub(crate) fn is_fully_serving(&self) -> bool {
        let view = self.view();
        let core = self.core();
        let now = self.now();
        let serving = view
            .groups()
            .filter(|(a, group)| {
                let key = replica_key(a, group);
                core.evidence.serving_until_shared(now, &key, group).is_ok()
            })
            .count();
        let workloads = view.deployment.workloads.values();
        let declared: u32 = workloads.flat_map(|w| w.replicas.values()).sum();
        declared > 0 && serving >= declared as usize
    }

    /// Counts a request in, unless there are too many.
    pub(crate) fn open_request(self: &Arc<Self>) -> Option<OpenRequest> {
        let open = self.open_requests.fetch_add(1, Ordering::Relaxed);
        let guard = OpenRequest {
            node: Arc::clone(self),
        };
        (open < self.settings.limits.max_requests).then_some(guard)
    }

    pub(crate) fn open_requests(&self) -> usize {
        self.open_requests.load(Ordering::Relaxed)
    }
}

pub(crate) fn replica_key(allocation: &Allocation, group: &Group) -> ReplicaKey {
    ReplicaKey {
        data_centre: allocation.data_centre.clone(),
        number: group.number,
    }
}

/// Recomputes until when one group may take work; returns whether it may.
fn refresh_group(core: &mut Core, now: Time, allocation: &Allocation, group: &Group) -> bool {
    let key = replica_key(allocation, group);
    let until = core.evidence.serving_until_shared(now, &key, group).ok();
    core.dispatcher.router_mut().set_serving(&key, until);
    until.is_some()
}

/// A request in progress; dropping it counts the request out.
pub(crate) struct OpenRequest {
    node: Arc<Node>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.node.open_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Takes a waiting request out of the queues when its caller goes away.
struct WaitGuard<'a> {
    node: &'a Node,
    id: RequestId,
    armed: bool,
}

impl WaitGuard<'_> {
    fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        if self.node.waiting().remove(&self.id).is_some() {
            self.node.core().dispatcher.cancel_waiting(self.id);
        } else {
            self.node.finish(self.id, Outcome::Cancelled);
        }
    }
}
