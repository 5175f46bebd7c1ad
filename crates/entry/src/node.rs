//! The parts of one entry, which all its tasks share.
//!
//! The process has one thread, so the state needs no lock.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use bulrushhoist_core::{Time, stable_hash};
use bulrushhoist_fleet::{
    AgeLimits, Endpoint, EndpointLoad, EntryInfo, LeaderChoice, Membership, MembershipSettings,
    Name, SlotLimit, SlowLeader, StopPlan, Suspicion, Work, name_key,
};
use slog::{Logger, info};
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::dialect::{Dialect, ObjectKind};
use crate::kept::BodyMemory;
use crate::metrics::{ByteCause, Metrics};
use crate::pool::ConnectionPool;
use crate::queues::{ModelKey, ResumingStream, Wake};
use crate::relay::Relay;
use crate::settings::{Bounds, Settings};
use crate::state::{Phase, State};
use crate::store::{StoreClient, age_limits};

/// Slowdown from which on a leader is reported to the other entries as slow.
const MIN_REPORTED_SLOWDOWN: f64 = 1.3;
/// Part of the process's memory that complete bodies may use, as a divisor. The rest holds
/// state, connections and the copies of bodies that are being written.
const BODY_MEMORY_DIVISOR: usize = 4;
/// Minimum time between two log lines about objects of the store that can't be used.
const ODD_OBJECT_LOG_INTERVAL: Duration = Duration::from_secs(2);
/// Time for which a suspicion is included in the messages to the other entries.
const SUSPICION_REPORT_TIME: Duration = Duration::from_millis(1_500);

/// The settings, state, clients and connections of one entry.
pub(crate) struct Node {
    pub(crate) settings: Settings,
    /// The bounds in force, which a reload may change.
    pub(crate) bounds: Cell<Bounds>,
    pub(crate) dialect: Rc<dyn Dialect>,
    pub(crate) log: Logger,
    pub(crate) metrics: Metrics,
    pub(crate) clock: Clock,
    pub(crate) store: StoreClient,
    pub(crate) state: RefCell<State>,
    pub(crate) pool: ConnectionPool,
    pub(crate) relay: Relay,
    pub(crate) body_memory: BodyMemory,
    /// Wakes the planner when something changed that may call for orders.
    pub(crate) planner_wake: Notify,
    /// Wakes the search for endpoints when this entry may have lost its way to them.
    pub(crate) contact_changed: Notify,
    /// Wakes the registration when the store has lost this entry's record.
    pub(crate) unregistered: Notify,
    /// Wakes the calls that wait when something is quarantined.
    pub(crate) quarantine_changed: Notify,
    /// When an object of the store that can't be used was last logged.
    pub(crate) odd_object_logged: Cell<Option<Time>>,
    /// When a notice that isn't usable was last logged.
    pub(crate) bad_notice_logged: Cell<Option<Time>>,
}

impl Node {
    pub(crate) fn new(
        settings: Settings,
        dialect: Rc<dyn Dialect>,
        log: Logger,
        metrics: Metrics,
    ) -> Self {
        let store = StoreClient::new(settings.store.address, dialect.clone(), log.clone());
        let seed = stable_hash([settings.node.as_bytes()]) ^ u64::from(std::process::id());
        let clock = Clock::new();
        let own = EntryInfo {
            name: settings.node.clone(),
            data_centre: settings.data_centre.clone(),
            peers: settings.listen.peers,
            callers: settings.listen.callers,
            cpu_milli: settings.cpu_milli,
        };
        let body_memory = BodyMemory::new(settings.memory_bytes / BODY_MEMORY_DIVISOR);
        let peers = Membership::new(MembershipSettings::default(), own, clock.now());
        let state = State::new(seed, peers);
        Self {
            bounds: Cell::new(settings.bounds),
            settings,
            dialect,
            log,
            metrics,
            clock,
            store,
            state: RefCell::new(state),
            pool: ConnectionPool::default(),
            relay: Relay::default(),
            body_memory,
            planner_wake: Notify::new(),
            contact_changed: Notify::new(),
            unregistered: Notify::new(),
            quarantine_changed: Notify::new(),
            odd_object_logged: Cell::new(None),
            bad_notice_logged: Cell::new(None),
        }
    }

    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns at which ages of its copy an entry asks the store for changes of a kind.
    pub(crate) fn age_limits(&self, kind: ObjectKind) -> AgeLimits {
        age_limits(kind, self.bounds.get().change)
    }

    /// Returns whether a line about an object that can't be used may be logged.
    pub(crate) fn may_log_odd_object(&self) -> bool {
        let now = self.now();
        let last = self.odd_object_logged.get();
        let due = last.is_none_or(|t| now.since(t) >= ODD_OBJECT_LOG_INTERVAL);
        if due {
            self.odd_object_logged.set(Some(now));
        }
        due
    }

    /// Returns every metric as text, with the ages of the copies at this moment.
    pub(crate) fn export_metrics(&self) -> Result<Vec<u8>, prometheus::Error> {
        let now = self.now();
        for kind in ObjectKind::FOLLOWED {
            if let Some(answered_at) = self.relay.answered_at(kind) {
                self.metrics.set_copy_age(kind, now.since(answered_at));
            }
        }
        if let Some(era) = self.store.era() {
            self.metrics.set_store_era(era);
        }
        self.metrics.set_body_bytes(self.body_memory.used());
        self.metrics.export()
    }

    /// Returns whether this entry takes callers.
    pub(crate) fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        state.phase == Phase::Serving && state.catalog.limits().is_some() && state.has_roster
    }

    /// Returns whether a request that may last until `end` should go to another
    /// entry because this one stops before. Callers that hold an older directory
    /// answer are still served at first.
    pub(crate) fn stops_before(&self, end: Time) -> bool {
        let Phase::Leaving { since } = self.state.borrow().phase else {
            return false;
        };
        let plan = StopPlan::within(self.bounds.get().grace);
        !plan.takes(self.now().since(since), end.since(since))
    }

    /// Returns the time by which a request that waits for a leader must end, if this entry
    /// stops.
    pub(crate) fn last_end(&self) -> Option<Time> {
        let Phase::Leaving { since } = self.state.borrow().phase else {
            return None;
        };
        Some(since + StopPlan::within(self.bounds.get().grace).last_end())
    }

    /// Suspects an endpoint after a request failed or stalled there.
    pub(crate) fn suspect(&self, endpoint: &Name, incarnation: u64, cause: &str) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let new = state.monitor.on_failure(now, endpoint, incarnation);
        state.note_suspicion(now, endpoint, incarnation, false);
        drop(state);
        if new {
            self.report_suspicion(endpoint, incarnation, cause);
        }
    }

    /// Records a connection to an endpoint that broke during a request. The endpoint is
    /// suspected only after a second one, since a single connection may break at a healthy
    /// endpoint.
    pub(crate) fn on_disconnect(&self, endpoint: &Name, incarnation: u64, cause: &str) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        if state.monitor.on_disconnect(now, endpoint, incarnation) {
            state.note_suspicion(now, endpoint, incarnation, false);
            drop(state);
            self.report_suspicion(endpoint, incarnation, cause);
        }
    }

    pub(crate) fn report_suspicion(&self, endpoint: &Name, incarnation: u64, cause: &str) {
        info!(self.log, "endpoint suspected"; "endpoint" => &**endpoint, "born" => incarnation, "cause" => cause);
        self.planner_wake.notify_one();
    }

    /// Counts the bytes of a request to an endpoint, or of its answer, if the endpoint is in
    /// another data centre.
    pub(crate) fn on_call_bytes(&self, endpoint: &Endpoint, bytes: usize) {
        if endpoint.data_centre != self.settings.data_centre {
            self.metrics.on_bytes(ByteCause::RemoteCall, bytes);
        }
    }

    /// Records data from an endpoint, which shows that it is alive.
    pub(crate) fn on_activity(&self, endpoint: &Name, incarnation: u64, run: u64) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state.monitor.on_activity(endpoint, incarnation);
        state.endpoint_contact.on_answer();
        state.quarantine.on_heard(now, run);
        if let Some(load) = state.loads.get_mut(endpoint) {
            load.last_active = now;
        }
    }

    /// Returns whether an endpoint with requests has sent nothing for too long.
    pub(crate) fn is_stalled(&self, endpoint: &Name) -> bool {
        self.state.borrow().is_stalled(self.now(), endpoint)
    }

    /// Wakes queued requests that can start now, and refuses those that can't start in time.
    pub(crate) fn advance_queues(&self) {
        let now = self.now();
        let last_end = self.last_end();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let mut queues = std::mem::take(&mut state.queues);
        for (key, queue) in &mut queues {
            let first = queue.expected_first();
            let refused = queue.waiting.take_unservable(now, first);
            queue.wake(&refused, Wake::Refuse);
            if let Some(last_end) = last_end {
                let start = now + state.wait_for_leader(now, &self.settings.data_centre, key);
                let stopped = queue.waiting.take_ending_after(start, last_end);
                queue.wake(&stopped, Wake::Stop);
            }
            if self.wake_resuming(now, state, key, &mut queue.resuming) {
                // It counts itself in the leader's load before another is woken.
                continue;
            }
            while !queue.waiting.is_empty() {
                let slot_limit = queue.waiting.next_slot_limit(now, first);
                let centre = &self.settings.data_centre;
                let placed =
                    state.choose_leader(now, centre, key, Work::default(), slot_limit, &[]);
                if !matches!(placed, LeaderChoice::Leader(..)) {
                    break;
                }
                let Some((request, class)) = queue.waiting.pop_class(now, first) else {
                    break;
                };
                if let Some(waker) = queue.wakers.remove(&request.id)
                    && waker.send(Wake::Start(slot_limit)).is_ok()
                {
                    self.metrics.on_start(class);
                    // One request is woken at a time: it counts itself in the leader's
                    // load first, so that the next one is not sent to the same slot.
                    break;
                }
            }
        }
        state.queues = queues;
    }

    /// Wakes the first begun stream that a leader can take. Returns whether there was one.
    fn wake_resuming(
        &self,
        now: Time,
        state: &mut State,
        key: &ModelKey,
        resuming: &mut VecDeque<ResumingStream>,
    ) -> bool {
        resuming.retain(|stream| !stream.waker.is_closed());
        let centre = &self.settings.data_centre;
        let place = resuming.iter().position(|stream| {
            let (work, avoid) = (stream.work, &stream.avoid);
            let placed = state.choose_leader(now, centre, key, work, SlotLimit::Begun, avoid);
            matches!(placed, LeaderChoice::Leader(..))
        });
        let stream = place.and_then(|place| resuming.remove(place));
        stream.is_some_and(|stream| stream.waker.send(()).is_ok())
    }

    /// Returns the suspicions to report to the other entries. Those of an entry that has
    /// lost its way to the endpoints say nothing of these.
    pub(crate) fn recent_suspicions(&self) -> Vec<Suspicion> {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        if state.endpoint_contact.is_cut_off() {
            return Vec::new();
        }
        state
            .suspicions
            .retain(|_, s| now.since(s.at) < SUSPICION_REPORT_TIME);
        let all = state.suspicions.iter();
        all.map(|(endpoint, suspicion)| Suspicion {
            endpoint: endpoint.clone(),
            incarnation: suspicion.incarnation,
        })
        .collect()
    }

    /// Returns the leaders of slow groups if this entry plans. Only the entry that plans
    /// probes the members and knows their speed.
    pub(crate) fn slow_leaders(&self) -> Vec<SlowLeader> {
        let state = self.state.borrow();
        if !state.planning {
            return Vec::new();
        }
        let now = self.now();
        let mut slow: Vec<SlowLeader> = Vec::new();
        for endpoint in state.roster.iter() {
            let slowdown = state
                .monitor
                .slowdown(now, &endpoint.id, endpoint.incarnation);
            if slowdown < MIN_REPORTED_SLOWDOWN {
                continue;
            }
            if let Some(leader) = state.roster.leader_of(endpoint) {
                let key = name_key(&leader.id);
                slow.push(SlowLeader { key, slowdown });
            }
        }
        slow
    }

    /// Returns the requests that this entry has in flight, to report to the other entries.
    pub(crate) fn own_loads(&self) -> Vec<EndpointLoad> {
        let state = self.state.borrow();
        let busy = state.loads.iter().filter(|(_, l)| l.requests > 0);
        busy.map(|(id, l)| EndpointLoad {
            key: name_key(id),
            requests: l.requests,
            prefill_tokens: l.prefill_tokens,
        })
        .collect()
    }
}
