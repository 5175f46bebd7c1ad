//! The decisions about each request: admission, queue, replica, retries.
//!
//! The dispatcher combines the router, the queues, the retry budgets and the
//! quarantine. The daemon reports what happens and carries out the returned
//! [`Action`]s; it decides nothing itself.

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

/// Bounds and policies of the dispatcher.
#[derive(Clone, Copy, Debug)]
pub struct DispatcherSettings {
    /// How replicas are chosen.
    pub policy: RouterPolicy,
    /// Entries among which one replica's limit is divided at most.
    pub max_sharers: usize,
    /// Bounds of each workload's queues.
    pub queues: QueueLimits,
    /// Size of each team's retry budget.
    pub retries: RetryBudgetSettings,
    /// Bounds of the quarantine.
    pub quarantine: QuarantineSettings,
    /// Seed of the random choices.
    pub seed: u64,
}

impl Default for DispatcherSettings {
    fn default() -> Self {
        Self {
            policy: RouterPolicy::default(),
            max_sharers: 16,
            queues: QueueLimits::default(),
            retries: RetryBudgetSettings::default(),
            quarantine: QuarantineSettings::default(),
            seed: 0,
        }
    }
}

/// A group as one data centre's allocation names it.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaView<'a> {
    /// Data centre of the group.
    pub data_centre: &'a DataCentreName,
    /// The group.
    pub group: &'a Group,
}

/// A request that asks for a replica.
#[derive(Clone, Debug)]
pub struct NewRequest {
    /// The request.
    pub id: RequestId,
    /// Team that pays for it.
    pub team: TeamName,
    /// Model or service that it is for.
    pub workload: WorkloadName,
    /// Hash of the start of the prompt, by which cached prefixes are found.
    pub prefix: u64,
    /// Hash of the whole request.
    pub fingerprint: Fingerprint,
    /// Moment by which it must have started.
    pub deadline: Time,
    /// Replicas that failed it already.
    pub avoid: SmallVec<[ReplicaKey; 2]>,
    /// Whether another entry may run it if this one has no place for it.
    pub forwardable: bool,
}

/// What the daemon has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request to this replica now.
    Start(RequestId, Choice),
    /// Refuse the request, which did not run.
    Refuse(RequestId, Refusal),
}

/// How a started request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The answer arrived whole; its first token took this long.
    Answered(Duration),
    /// The endpoint refused for lack of capacity, without running it.
    Refused,
    /// No connection came about; nothing was sent.
    ConnectFailed,
    /// The endpoint was lost; the number names the endpoint's run, if the
    /// request is suspected of having ended it.
    Lost(Option<u64>),
    /// The caller went away.
    Cancelled,
}

#[derive(Debug)]
struct Running {
    request: NewRequest,
    replica: ReplicaKey,
    /// Whether the time to the first token was taken already.
    observed: bool,
}

/// State of every request from its admission to its end.
#[derive(Debug)]
pub struct Dispatcher {
    settings: DispatcherSettings,
    own: MemberId,
    fresh_until: Time,
    router: Router,
    shares: BTreeMap<TeamName, (u32, u32)>,
    in_flight: HashMap<TeamName, u32>,
    queues: HashMap<WorkloadName, AdmissionQueue>,
    waiting: HashMap<RequestId, NewRequest>,
    running: HashMap<RequestId, Running>,
    budgets: HashMap<TeamName, RetryBudget>,
    quarantine: Quarantine,
    rng: SmallRng,
}

impl Dispatcher {
    /// A dispatcher without replicas, which refuses everything.
    #[must_use]
    pub fn new(settings: DispatcherSettings, own: MemberId) -> Self {
        Self {
            settings,
            own,
            fresh_until: Time::ZERO,
            router: Router::new(settings.policy),
            shares: BTreeMap::new(),
            in_flight: HashMap::new(),
            queues: HashMap::new(),
            waiting: HashMap::new(),
            running: HashMap::new(),
            budgets: HashMap::new(),
            quarantine: Quarantine::new(settings.quarantine),
            rng: SmallRng::seed_from_u64(settings.seed),
        }
    }

    /// Takes the newest configuration, register and allocations.
    pub fn reconfigure<'a>(
        &mut self,
        deployment: &Deployment,
        service: &DataCentreService,
        register: &Register,
        home: &DataCentreName,
        replicas: impl IntoIterator<Item = ReplicaView<'a>>,
    ) {
        let teams = deployment.teams.values();
        self.shares = teams
            .map(|t| (t.name.clone(), (t.share, t.max_in_flight)))
            .collect();
        let specs = replicas
            .into_iter()
            .filter_map(|view| self.spec(deployment, service, register, home, view))
            .collect();
        self.router.set_replicas(specs);
    }

    /// Sets until when this daemon may start work without a new proof that its
    /// configuration is current.
    pub fn set_fresh_until(&mut self, until: Time) {
        self.fresh_until = until;
    }

    /// Returns the router, to feed reports into.
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

    /// Returns the requests that run or wait.
    #[must_use]
    pub fn busy(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Returns the requests that wait for a replica.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Starts, queues or refuses a request.
    pub fn submit(&mut self, now: Time, request: NewRequest) -> SmallVec<[Action; 2]> {
        let mut events = SmallVec::new();
        let id = request.id;
        match self.admit(now, request) {
            Ok(Some(choice)) => events.push(Action::Start(id, choice)),
            Ok(None) => {}
            Err(reason) => events.push(Action::Refuse(id, Refusal::not_run(reason))),
        }
        events
    }

    fn admit(&mut self, now: Time, request: NewRequest) -> Result<Option<Choice>, Reason> {
        if now >= self.fresh_until {
            return Err(Reason::Stale);
        }
        let (share, most) = *self.shares.get(&request.team).ok_or(Reason::Unauthorized)?;
        if self
            .in_flight
            .get(&request.team)
            .is_some_and(|n| *n >= most)
        {
            return Err(Reason::TeamLimit);
        }
        self.check_quarantine(now, request.fingerprint)?;
        let queue = self.queue(&request.workload);
        if queue.is_empty()
            && let Some(choice) = self.start(now, &request)
        {
            self.count_in(&request.team);
            self.run(request, &choice);
            return Ok(Some(choice));
        }
        if !self.router.any_serving(now, &request.workload) {
            self.quarantine.on_finished(request.fingerprint, false);
            return Err(Reason::NoReplica);
        }
        if request.forwardable && self.router.capacity(now, &request.workload) == 0 {
            self.quarantine.on_finished(request.fingerprint, false);
            return Err(Reason::NoShare);
        }
        let waiting = QueuedRequest {
            id: request.id,
            deadline: request.deadline,
        };
        let queued = self
            .queue(&request.workload)
            .push(now, &request.team, share, waiting);
        if queued.is_err() {
            self.quarantine.on_finished(request.fingerprint, false);
        }
        queued?;
        self.count_in(&request.team);
        self.waiting.insert(request.id, request);
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
            .expect("the queue was just made")
    }

    fn start(&mut self, now: Time, request: &NewRequest) -> Option<Choice> {
        let Self { router, rng, .. } = self;
        router.acquire(now, &request.workload, request.prefix, &request.avoid, rng)
    }

    fn run(&mut self, request: NewRequest, choice: &Choice) {
        let replica = choice.replica.clone();
        let running = Running {
            request,
            replica,
            observed: false,
        };
        self.running.insert(running.request.id, running);
    }

    fn count_in(&mut self, team: &TeamName) {
        *self.in_flight.entry(team.clone()).or_default() += 1;
    }

    fn count_out(&mut self, team: &TeamName) {
        if let Some(count) = self.in_flight.get_mut(team) {
            *count -= 1;
            if *count == 0 {
                self.in_flight.remove(team);
            }
        }
    }

    /// Returns whether a started request may still be sent: the daemon may
    /// have been paused between the decision and the sending.
    #[must_use]
    pub fn may_send(&self, now: Time, id: RequestId) -> bool {
        let Some(running) = self.running.get(&id) else {
            return false;
        };
        now < self.fresh_until && self.router.is_serving(now, &running.replica)
    }

    /// Takes the time to the first token as soon as it is known: a replica that
    /// turned slow must not go on filling until its slow answers end.
    pub fn on_first_token(&mut self, now: Time, id: RequestId, took: Duration) {
        let Some(running) = self.running.get_mut(&id) else {
            return;
        };
        if !running.observed {
            running.observed = true;
            self.router.on_first_token(now, &running.replica, took);
        }
    }

    /// Takes the time between two tokens of a request's answer.
    pub fn on_token_gap(&mut self, now: Time, id: RequestId, gap: Duration) {
        if let Some(running) = self.running.get(&id) {
            self.router.on_token_gap(now, &running.replica, gap);
        }
    }

    /// Takes the end of a started request; starts others in its place.
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
        self.count_out(&request.team);
        self.router.release(&replica);
        self.learn(now, &request, &replica, outcome);
        self.pump(now, &request.workload)
    }

    fn learn(&mut self, now: Time, request: &NewRequest, replica: &ReplicaKey, outcome: Outcome) {
        let answered = matches!(outcome, Outcome::Answered(_));
        self.quarantine.on_finished(request.fingerprint, answered);
        match outcome {
            Outcome::Answered(_) => self.budget(&request.team).on_success(),
            Outcome::Refused => self.router.observe(replica, |l| l.on_refused(now)),
            Outcome::ConnectFailed => self.router.set_serving(replica, None),
            Outcome::Lost(incident) => {
                self.router.observe(replica, |l| l.on_lost(now));
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

    /// Spends one retry of a team; returns whether there was one.
    #[must_use]
    pub fn try_retry(&mut self, team: &TeamName) -> bool {
        self.budget(team).try_spend()
    }

    /// Takes out a request whose caller went away while it waited.
    pub fn cancel_waiting(&mut self, id: RequestId) {
        let Some(request) = self.waiting.remove(&id) else {
            return;
        };
        self.queue(&request.workload).remove(id);
        self.quarantine.on_finished(request.fingerprint, false);
        self.count_out(&request.team);
    }

    /// Starts and refuses waiting requests as time and reports allow.
    pub fn tick(&mut self, now: Time) -> SmallVec<[Action; 2]> {
        let workloads: Vec<_> = self.queues.keys().cloned().collect();
        let mut events = SmallVec::new();
        for workload in &workloads {
            events.extend(self.pump(now, workload));
        }
        events
    }

    fn pump(&mut self, now: Time, workload: &WorkloadName) -> SmallVec<[Action; 2]> {
        let mut events = SmallVec::new();
        let stale = now >= self.fresh_until;
        for id in self.queue(workload).expire(now) {
            self.refuse(id, Reason::Overloaded, &mut events);
        }
        while let Some(id) = self.queue(workload).peek().map(|(_, w)| w.id) {
            if stale {
                self.queue(workload).pop(now);
                self.refuse(id, Reason::Stale, &mut events);
                continue;
            }
            let Some(request) = self.waiting.get(&id).cloned() else {
                self.queue(workload).pop(now);
                continue;
            };
            let Some(choice) = self.start(now, &request) else {
                break;
            };
            self.queue(workload).pop(now);
            self.waiting.remove(&id);
            self.run(request, &choice);
            events.push(Action::Start(id, choice));
        }
        events
    }

    fn refuse(&mut self, id: RequestId, reason: Reason, events: &mut SmallVec<[Action; 2]>) {
        let Some(request) = self.waiting.remove(&id) else {
            return;
        };
        self.quarantine.on_finished(request.fingerprint, false);
        self.count_out(&request.team);
        events.push(Action::Refuse(id, Refusal::not_run(reason)));
    }
}
