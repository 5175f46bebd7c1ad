//! Dispatching of requests: admission, queueing, replica choice and retries.
//!
//! The dispatcher combines the router, the admission queues, the retry budgets
//! and the quarantine. The daemon reports what happens to each request and
//! executes the returned [`Action`]s, so that all decisions are made here and
//! can be tested without I/O.

mod shares;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use smallvec::SmallVec;

use crate::admission::{AdmissionQueue, QueueLimits, QueuedRequest};
use crate::allocation::Group;
use crate::deployment::Deployment;
use crate::ids::{DataCentreName, Fingerprint, MemberId, RequestId, TeamName, WorkloadName};
use crate::quarantine::{Quarantine, QuarantineDecision, QuarantineSettings};
use crate::refusal::{Reason, Refusal};
use crate::register::Register;
use crate::retry::{RetryBudget, RetryBudgetSettings};
use crate::route::{Choice, ReplicaKey, Router, RouterPolicy};
use crate::service::DataCentreService;
use crate::time::Time;

/// Limits and policies of the dispatcher.
#[derive(Clone, Copy, Debug)]
pub struct DispatcherSettings {
    /// How replicas are chosen.
    pub policy: RouterPolicy,
    /// Maximum number of entries among which one replica's limit is divided.
    pub max_share_holders: usize,
    /// Capacity of each workload's queues.
    pub queues: QueueLimits,
    /// Size of each team's retry budget.
    pub retries: RetryBudgetSettings,
    /// Limits of the quarantine.
    pub quarantine: QuarantineSettings,
    /// Seed of the random number generator for replica choices.
    pub seed: u64,
}

impl Default for DispatcherSettings {
    fn default() -> Self {
        Self {
            policy: RouterPolicy::default(),
            max_share_holders: 16,
            queues: QueueLimits::default(),
            retries: RetryBudgetSettings::default(),
            quarantine: QuarantineSettings::default(),
            seed: 0,
        }
    }
}

/// A group of one data centre's allocation.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaView<'a> {
    /// Data centre of the group.
    pub data_centre: &'a DataCentreName,
    /// The group.
    pub group: &'a Group,
}

/// A request to dispatch to a replica.
#[derive(Clone, Debug)]
pub struct NewRequest {
    /// Identity of the request.
    pub id: RequestId,
    /// Team whose share and limits apply.
    pub team: TeamName,
    /// Model or service that is called.
    pub workload: WorkloadName,
    /// Hash of the start of the prompt, used for affinity to cached prefixes.
    pub prefix: u64,
    /// Hash by which the quarantine recognises repeats of the request.
    pub fingerprint: Fingerprint,
    /// Time by which the request must have started.
    pub deadline: Time,
    /// Replicas at which earlier attempts of the request failed.
    pub avoid: SmallVec<[ReplicaKey; 2]>,
    /// Whether another entry may run the request if this one has no slots for
    /// its workload.
    pub forwardable: bool,
}

/// An action that the daemon has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request to this replica.
    Start(RequestId, Choice),
    /// Refuse the request. It has not run.
    Refuse(RequestId, Refusal),
}

/// How a started request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The complete answer arrived; the value is the time to its first token.
    Answered(Duration),
    /// The endpoint refused the request for lack of capacity and did not run it.
    Refused,
    /// No connection could be established, so nothing was sent.
    ConnectFailed,
    /// The endpoint was lost or sent no usable answer. The number identifies
    /// the run of the endpoint's process; it is present if the request is
    /// suspected of having crashed it.
    Lost(Option<u64>),
    /// The caller disconnected.
    Cancelled,
}

#[derive(Debug)]
struct Running {
    request: NewRequest,
    replica: ReplicaKey,
    /// Whether the time to the first token has been recorded.
    first_token_seen: bool,
}

/// State of every request from its admission to its end.
#[derive(Debug)]
pub struct Dispatcher {
    settings: DispatcherSettings,
    /// Identity of this daemon.
    own: MemberId,
    /// Time until which the configuration is known to be current.
    fresh_until: Time,
    router: Router,
    /// Share and maximum number of running and queued requests of each team.
    team_limits: BTreeMap<TeamName, (u32, u32)>,
    /// Number of running and queued requests of each team.
    active: HashMap<TeamName, u32>,
    queues: HashMap<WorkloadName, AdmissionQueue>,
    queued: HashMap<RequestId, NewRequest>,
    running: HashMap<RequestId, Running>,
    budgets: HashMap<TeamName, RetryBudget>,
    quarantine: Quarantine,
    rng: SmallRng,
}

impl Dispatcher {
    /// Creates a dispatcher without replicas, which refuses every request.
    #[must_use]
    pub fn new(settings: DispatcherSettings, own: MemberId) -> Self {
        Self {
            settings,
            own,
            fresh_until: Time::ZERO,
            router: Router::new(settings.policy),
            team_limits: BTreeMap::new(),
            active: HashMap::new(),
            queues: HashMap::new(),
            queued: HashMap::new(),
            running: HashMap::new(),
            budgets: HashMap::new(),
            quarantine: Quarantine::new(settings.quarantine),
            rng: SmallRng::seed_from_u64(settings.seed),
        }
    }

    /// Applies the newest configuration, register and allocations.
    pub fn reconfigure<'a>(
        &mut self,
        deployment: &Deployment,
        service: &DataCentreService,
        register: &Register,
        home: &DataCentreName,
        replicas: impl IntoIterator<Item = ReplicaView<'a>>,
    ) {
        let teams = deployment.teams.values();
        self.team_limits = teams
            .map(|t| (t.name.clone(), (t.share, t.max_in_flight)))
            .collect();
        let specs = replicas
            .into_iter()
            .filter_map(|view| self.replica_spec(deployment, service, register, home, view))
            .collect();
        self.router.set_replicas(specs);
    }

    /// Sets the time until which this daemon may start requests without a new
    /// proof that its configuration is current.
    pub fn set_fresh_until(&mut self, until: Time) {
        self.fresh_until = until;
    }

    /// Returns the router, which receives the endpoints' reports.
    pub fn router_mut(&mut self) -> &mut Router {
        &mut self.router
    }

    /// Returns the router.
    #[must_use]
    pub const fn router(&self) -> &Router {
        &self.router
    }

    /// Returns the quarantine, to exchange strikes with other daemons.
    pub fn quarantine_mut(&mut self) -> &mut Quarantine {
        &mut self.quarantine
    }

    /// Returns the quarantine.
    #[must_use]
    pub const fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Returns the number of requests that are running or queued.
    #[must_use]
    pub fn active(&self) -> usize {
        self.running.len() + self.queued.len()
    }

    /// Returns the number of requests that wait for a replica.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queued.len()
    }

    /// Starts, queues or refuses a request.
    pub fn submit(&mut self, now: Time, request: NewRequest) -> SmallVec<[Action; 2]> {
        let mut actions = SmallVec::new();
        let id = request.id;
        match self.admit(now, request) {
            Ok(Some(choice)) => actions.push(Action::Start(id, choice)),
            Ok(None) => {}
            Err(reason) => actions.push(Action::Refuse(id, Refusal::not_run(reason))),
        }
        actions
    }

    /// Starts a request (returns its replica) or queues it (returns `None`), or
    /// returns the reason for which it is refused.
    ///
    /// A request starts at once only if none is queued, so that it does not
    /// overtake queued requests of its workload.
    fn admit(&mut self, now: Time, request: NewRequest) -> Result<Option<Choice>, Reason> {
        if now >= self.fresh_until {
            return Err(Reason::Stale);
        }
        let (share, max_in_flight) = *self
            .team_limits
            .get(&request.team)
            .ok_or(Reason::Unauthorized)?;
        if self
            .active
            .get(&request.team)
            .is_some_and(|n| *n >= max_in_flight)
        {
            return Err(Reason::TeamLimit);
        }
        self.check_quarantine(now, request.fingerprint)?;
        let queue = self.queue(&request.workload);
        if queue.is_empty()
            && let Some(choice) = self.acquire_replica(now, &request)
        {
            self.increment_active(&request.team);
            self.mark_running(request, &choice);
            return Ok(Some(choice));
        }
        if !self.router.any_serving(now, &request.workload) {
            self.quarantine.on_finished(request.fingerprint, false);
            return Err(Reason::NoReplica);
        }
        if request.forwardable && self.router.total_slots(now, &request.workload) == 0 {
            self.quarantine.on_finished(request.fingerprint, false);
            return Err(Reason::NoShare);
        }
        let queued = QueuedRequest {
            id: request.id,
            deadline: request.deadline,
        };
        let pushed = self
            .queue(&request.workload)
            .push(now, &request.team, share, queued);
        if pushed.is_err() {
            self.quarantine.on_finished(request.fingerprint, false);
        }
        pushed?;
        self.increment_active(&request.team);
        self.queued.insert(request.id, request);
        Ok(None)
    }

    fn check_quarantine(&mut self, now: Time, fingerprint: Fingerprint) -> Result<(), Reason> {
        match self.quarantine.admit(now, fingerprint) {
            QuarantineDecision::Clear | QuarantineDecision::Probation => Ok(()),
            QuarantineDecision::Busy | QuarantineDecision::Refused => Err(Reason::Quarantined),
        }
    }

    fn queue(&mut self, workload: &WorkloadName) -> &mut AdmissionQueue {
        if !self.queues.contains_key(workload) {
            let queue = AdmissionQueue::new(self.settings.queues);
            self.queues.insert(workload.clone(), queue);
        }
        self.queues
            .get_mut(workload)
            .expect("the queue was inserted above")
    }

    fn acquire_replica(&mut self, now: Time, request: &NewRequest) -> Option<Choice> {
        let Self { router, rng, .. } = self;
        router.acquire(now, &request.workload, request.prefix, &request.avoid, rng)
    }

    fn mark_running(&mut self, request: NewRequest, choice: &Choice) {
        let replica = choice.replica.clone();
        let running = Running {
            request,
            replica,
            first_token_seen: false,
        };
        self.running.insert(running.request.id, running);
    }

    fn increment_active(&mut self, team: &TeamName) {
        *self.active.entry(team.clone()).or_default() += 1;
    }

    fn decrement_active(&mut self, team: &TeamName) {
        if let Some(count) = self.active.get_mut(team) {
            *count -= 1;
            if *count == 0 {
                self.active.remove(team);
            }
        }
    }

    /// Returns whether a started request may still be sent.
    ///
    /// The daemon's process may have been paused after the decision, so the
    /// configuration and the replica's evidence are checked again.
    #[must_use]
    pub fn may_send(&self, now: Time, id: RequestId) -> bool {
        let Some(running) = self.running.get(&id) else {
            return false;
        };
        now < self.fresh_until && self.router.is_serving(now, &running.replica)
    }

    /// Records a request's time to the first token.
    ///
    /// It is recorded before the answer ends, so that a replica that has become
    /// slow receives fewer requests while its slow answers still stream.
    pub fn on_first_token(&mut self, now: Time, id: RequestId, took: Duration) {
        let Some(running) = self.running.get_mut(&id) else {
            return;
        };
        if !running.first_token_seen {
            running.first_token_seen = true;
            self.router.on_first_token(now, &running.replica, took);
        }
    }

    /// Records the time between two tokens of a request's answer.
    pub fn on_token_gap(&mut self, now: Time, id: RequestId, gap: Duration) {
        if let Some(running) = self.running.get(&id) {
            self.router.on_token_gap(now, &running.replica, gap);
        }
    }

    /// Records the end of a started request and starts queued ones in its slot.
    pub fn finish(&mut self, now: Time, id: RequestId, outcome: Outcome) -> SmallVec<[Action; 2]> {
        if let Outcome::Answered(first_token) = outcome {
            self.on_first_token(now, id, first_token);
        }
        let Some(Running {
            request, replica, ..
        }) = self.running.remove(&id)
        else {
            return SmallVec::new();
        };
        self.decrement_active(&request.team);
        self.router.release(&replica);
        self.record_outcome(now, &request, &replica, outcome);
        self.start_queued(now, &request.workload)
    }

    /// Passes the outcome of a request to the quarantine, the team's retry
    /// budget and the replica's limit.
    ///
    /// A replica that was lost or unreachable stops serving until there is new
    /// evidence of its group.
    fn record_outcome(
        &mut self,
        now: Time,
        request: &NewRequest,
        replica: &ReplicaKey,
        outcome: Outcome,
    ) {
        let answered = matches!(outcome, Outcome::Answered(_));
        self.quarantine.on_finished(request.fingerprint, answered);
        match outcome {
            Outcome::Answered(_) => self.budget(&request.team).on_success(),
            Outcome::Refused => self.router.update_limit(replica, |l| l.on_refused(now)),
            Outcome::ConnectFailed => self.router.set_serving(replica, None),
            Outcome::Lost(incident) => {
                self.router.update_limit(replica, |l| l.on_lost(now));
                self.router.set_serving(replica, None);
                if let Some(incident) = incident {
                    self.quarantine.strike(now, request.fingerprint, incident);
                }
            }
            Outcome::Cancelled => {}
        }
    }

    fn budget(&mut self, team: &TeamName) -> &mut RetryBudget {
        let fresh = RetryBudget::new(self.settings.retries);
        self.budgets.entry(team.clone()).or_insert(fresh)
    }

    /// Spends one retry of a team's budget; returns whether one was left.
    #[must_use]
    pub fn try_retry(&mut self, team: &TeamName) -> bool {
        self.budget(team).try_spend()
    }

    /// Removes a queued request whose caller disconnected.
    pub fn cancel_queued(&mut self, id: RequestId) {
        let Some(request) = self.queued.remove(&id) else {
            return;
        };
        self.queue(&request.workload).remove(id);
        self.quarantine.on_finished(request.fingerprint, false);
        self.decrement_active(&request.team);
    }

    /// Starts queued requests for which replicas have free slots, and refuses
    /// those whose deadline has passed.
    pub fn tick(&mut self, now: Time) -> SmallVec<[Action; 2]> {
        let workloads: Vec<_> = self.queues.keys().cloned().collect();
        let mut actions = SmallVec::new();
        for workload in &workloads {
            actions.extend(self.start_queued(now, workload));
        }
        actions
    }

    /// Starts one workload's queued requests in order until one finds no free
    /// slot, after refusing those whose deadline has passed.
    ///
    /// All are refused if the configuration may not be current any more.
    fn start_queued(&mut self, now: Time, workload: &WorkloadName) -> SmallVec<[Action; 2]> {
        let mut actions = SmallVec::new();
        let stale = now >= self.fresh_until;
        for id in self.queue(workload).expire(now) {
            self.refuse(id, Reason::Overloaded, &mut actions);
        }
        while let Some(id) = self.queue(workload).peek().map(|(_, r)| r.id) {
            if stale {
                self.queue(workload).pop(now);
                self.refuse(id, Reason::Stale, &mut actions);
                continue;
            }
            let Some(request) = self.queued.get(&id).cloned() else {
                self.queue(workload).pop(now);
                continue;
            };
            let Some(choice) = self.acquire_replica(now, &request) else {
                break;
            };
            self.queue(workload).pop(now);
            self.queued.remove(&id);
            self.mark_running(request, &choice);
            actions.push(Action::Start(id, choice));
        }
        actions
    }

    fn refuse(&mut self, id: RequestId, reason: Reason, actions: &mut SmallVec<[Action; 2]>) {
        let Some(request) = self.queued.remove(&id) else {
            return;
        };
        self.quarantine.on_finished(request.fingerprint, false);
        self.decrement_active(&request.team);
        actions.push(Action::Refuse(id, Refusal::not_run(reason)));
    }
}
