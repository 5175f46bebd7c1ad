//! Waits until a leader can take a streaming call.

use std::rc::Rc;
use std::time::Duration;

use bulrushhoist_core::Time;
use bulrushhoist_fleet::{
    Discipline, Endpoint, LeaderChoice, Name, QueuedRequest, SlotLimit, StartClass, Work,
    expected_run_time, name_key,
};
use smallvec::SmallVec;
use tokio::sync::oneshot;

use crate::call::Call;
use crate::node::Node;
use crate::outcome::Refusal;
use crate::queues::{ModelKey, ResumingStream, Wake};
use crate::state::State;

/// Interval at which a waiting stream checks which leaders it may use again.
const RESUMPTION_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Guard that takes a request out of its queue, also when its caller disconnects.
struct QueueGuard<'n> {
    node: &'n Node,
    key: &'n ModelKey,
    id: u64,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.node.state.borrow_mut();
        let queue = state.queue(self.key);
        queue.waiting.remove(self.id);
        queue.wakers.remove(&self.id);
    }
}

/// Chooses a leader for the call that isn't in `avoid`, and waits in the queue while all
/// are full. Returns the leader and how long the call has waited.
///
/// A call that was sent to a leader before is tried ahead of the queued requests.
pub(crate) async fn await_leader(
    node: &Rc<Node>,
    call: &Call,
    avoid: &[Name],
    retried: bool,
) -> Result<(Endpoint, Duration), Refusal> {
    let model = call.model.clone().ok_or(Refusal::BadRequest)?;
    let key = (call.service.clone(), model);
    let since = node.now();
    let mut granted = None;
    let request = queued_request(&mut node.state.borrow_mut(), &key, call)?;
    loop {
        let now = node.now();
        if now >= call.deadline {
            return Err(Refusal::TimedOut);
        }
        let last_end = node.last_end();
        let (id, waiter, latest_start) = {
            let mut state = node.state.borrow_mut();
            let queue = state.queue(&key);
            let first = queue.expected_first();
            let late = !retried && queue.waiting.is_late(now, first, &request);
            let discipline = queue.waiting.discipline();
            let latest_start = queue.waiting.latest_start(&request);
            let woken = retried || granted.is_some();
            // A request that can still meet its objective need not wait behind late ones.
            let must_wait = !woken && queue.has_ahead(now, first, late);
            let slot_limit = match (discipline, granted, late) {
                // A reserved start may use all slots, though the request is late.
                (Discipline::OnTimeFirst, Some(granted), _) => granted,
                (_, _, true) => SlotLimit::Unreserved,
                (_, _, false) => SlotLimit::All,
            };
            let centre = &node.settings.data_centre;
            let placed = state.choose_leader(now, centre, &key, call.work, slot_limit, avoid);
            // A stream that was begun elsewhere is worth more than a punctual start.
            let limited_until = match retried {
                true => call.deadline,
                false => call.objective(),
            };
            let wait = shortest_wait(&placed);
            if wait.is_some_and(|wait| last_end.is_some_and(|end| now + wait + request.run > end)) {
                return Err(Refusal::Stopping);
            }
            let may_pause = |time| match discipline {
                Discipline::EarliestFirst => now + time + first <= call.deadline,
                Discipline::OnTimeFirst => now + time <= latest_start,
            };
            let (id, waiter) = match placed {
                LeaderChoice::Leader(..) if must_wait => {
                    let joined = join_queue(&mut state, now, &key, request)?;
                    if discipline == Discipline::OnTimeFirst {
                        // Others may have waited until the next sweep for this leader.
                        advance_soon(node);
                    }
                    joined
                }
                LeaderChoice::Leader(id, _) => {
                    let queue = state.queue(&key);
                    queue.waiting.on_start(now);
                    if !woken {
                        queue.waiting.on_direct_start(now, first, &request);
                        let class = match late {
                            true => StartClass::Late,
                            false => StartClass::OnTime,
                        };
                        node.metrics.on_start(class);
                    }
                    let more = !queue.waiting.is_empty();
                    if more && granted.is_some() && discipline == Discipline::OnTimeFirst {
                        advance_soon(node);
                    }
                    let found = state.roster.get(&id).cloned();
                    let waited = now.since(since);
                    node.metrics.on_wait(waited);
                    return found.map(|e| (e, waited)).ok_or(Refusal::NoEndpoint);
                }
                LeaderChoice::Unavailable => return Err(Refusal::NoEndpoint),
                // The sweep wakes the queue when the pause has ended.
                LeaderChoice::Paused(time) if may_pause(time) => {
                    join_queue(&mut state, now, &key, request)?
                }
                LeaderChoice::Paused(_) => return Err(Refusal::Paused),
                LeaderChoice::Limited(time) if now + time + first <= limited_until => {
                    join_queue(&mut state, now, &key, request)?
                }
                LeaderChoice::Limited(_) => return Err(Refusal::Limited),
                LeaderChoice::Full => join_queue(&mut state, now, &key, request)?,
            };
            (id, waiter, latest_start)
        };
        let guard = QueueGuard {
            node,
            key: &key,
            id,
        };
        let limit = node.clock.instant(latest_start);
        let outcome = tokio::time::timeout_at(limit, waiter).await;
        drop(guard);
        granted = match outcome {
            Ok(Ok(Wake::Start(slot_limit))) => Some(slot_limit),
            Ok(Ok(Wake::Stop)) => return Err(Refusal::Stopping),
            Ok(_) => return Err(Refusal::WaitedOut),
            Err(_) if latest_start < call.deadline => return Err(Refusal::WaitedOut),
            Err(_) => return Err(Refusal::TimedOut),
        };
    }
}

/// Chooses a leader that resumes a stream which has begun, and waits until one is free.
/// `avoid` returns the leaders to leave out at a time. Returns the leader and how long the
/// stream has waited.
///
/// Its caller already reads, so such a stream goes ahead of queued requests and is given up
/// only if it can't be resumed any more.
pub(crate) async fn await_next_leader(
    node: &Rc<Node>,
    call: &Call,
    avoid: impl Fn(Time) -> SmallVec<[Name; 4]>,
) -> Result<(Endpoint, Duration), Refusal> {
    let model = call.model.clone().ok_or(Refusal::BadRequest)?;
    let key = (call.service.clone(), model);
    let since = node.now();
    loop {
        let now = node.now();
        if now >= call.deadline {
            return Err(Refusal::TimedOut);
        }
        let waiter = {
            let mut state = node.state.borrow_mut();
            if state.catalog.service(&call.service).is_none() {
                return Err(Refusal::NoEndpoint);
            }
            let (centre, avoid) = (&node.settings.data_centre, avoid(now));
            let limit = SlotLimit::Begun;
            let placed = state.choose_leader(now, centre, &key, call.work, limit, &avoid);
            let leader = match placed {
                LeaderChoice::Leader(id, _) => state.roster.get(&id).cloned(),
                _ => None,
            };
            if let Some(leader) = leader {
                let waited = now.since(since);
                node.metrics.on_wait(waited);
                return Ok((leader, waited));
            }
            let (waker, waiter) = oneshot::channel();
            state.queue(&key).resuming.push_back(ResumingStream {
                waker,
                avoid,
                work: call.work,
            });
            waiter
        };
        let pause = RESUMPTION_CHECK_INTERVAL.min(call.deadline.since(now));
        // Woken or not, the choice is made anew.
        let _ = tokio::time::timeout(pause, waiter).await;
    }
}

/// Returns the time before which no leader takes a request, if one must wait.
fn shortest_wait(choice: &LeaderChoice) -> Option<Duration> {
    match choice {
        LeaderChoice::Paused(time) | LeaderChoice::Limited(time) => Some(*time),
        LeaderChoice::Full => Some(Duration::ZERO),
        LeaderChoice::Leader(..) | LeaderChoice::Unavailable => None,
    }
}

impl State {
    /// Returns the time before which no leader of a model takes a request.
    pub(crate) fn wait_for_leader(&mut self, now: Time, centre: &str, key: &ModelKey) -> Duration {
        let limit = SlotLimit::All;
        let placed = self.choose_leader(now, centre, key, Work::default(), limit, &[]);
        shortest_wait(&placed).unwrap_or_default()
    }
}

/// Advances the queues once this task waits. By then the request that it starts has counted
/// itself in its leader's load.
fn advance_soon(node: &Rc<Node>) {
    let node = node.clone();
    tokio::task::spawn_local(async move { node.advance_queues() });
}

/// Returns the call as its queue knows it, and sets the queue's order by the configuration.
///
/// # Errors
///
/// [`Refusal::NoEndpoint`] if the model is neither configured nor led by an endpoint.
fn queued_request(
    state: &mut State,
    key: &ModelKey,
    call: &Call,
) -> Result<QueuedRequest, Refusal> {
    let discipline = match state.catalog.is_latency_critical(&call.service) {
        true => Discipline::OnTimeFirst,
        false => Discipline::EarliestFirst,
    };
    let queue = state.known_queue(key).ok_or(Refusal::NoEndpoint)?;
    queue.waiting.set_discipline(discipline);
    let service = state.catalog.service(&call.service);
    let run = service.and_then(|s| s.engine.as_ref()).and_then(|engine| {
        let model = engine.models.iter().find(|m| m.name == key.1)?;
        Some(expected_run_time(engine, model.time_factor, call.work))
    });
    Ok(QueuedRequest {
        id: 0,
        priority: call.priority,
        team: call.team.as_ref().map_or(0, |team| name_key(team)),
        received: call.received,
        objective: call.objective(),
        deadline: call.deadline,
        run: run.unwrap_or_default(),
    })
}

/// Adds the call to its queue. Returns its id there and the receiver that wakes it.
fn join_queue(
    state: &mut State,
    now: Time,
    key: &ModelKey,
    request: QueuedRequest,
) -> Result<(u64, oneshot::Receiver<Wake>), Refusal> {
    state.last_queue_id += 1;
    let id = state.last_queue_id;
    let queue = state.queue(key);
    let first = queue.expected_first();
    queue
        .waiting
        .enqueue_by(now, first, QueuedRequest { id, ..request })
        .map_err(|_| Refusal::LineFull)?;
    let (waker, waiter) = oneshot::channel();
    queue.wakers.insert(id, waker);
    Ok((id, waiter))
}
