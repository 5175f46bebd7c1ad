//! Waits until a leader can take a streaming call.

use std::rc::Rc;
use std::time::Duration;

use bulrushhoist_core::Time;
use bulrushhoist_fleet::{Endpoint, LeaderChoice, Name, QueuedRequest, SlotLimit};
use smallvec::SmallVec;
use tokio::sync::oneshot;

use crate::call::Call;
use crate::node::Node;
use crate::outcome::Refusal;
use crate::queues::{ModelKey, ResumingStream};
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
    let mut woken = retried;
    loop {
        let now = node.now();
        if now >= call.deadline {
            return Err(Refusal::TimedOut);
        }
        let waiter = {
            let mut state = node.state.borrow_mut();
            let queue = state.queue(&key);
            let first = queue.first_events.estimate();
            let late = !retried && now + first > call.objective();
            // A request that can still meet its objective need not wait behind late ones.
            let must_wait = !woken && queue.waiting.has_ahead(now, first, late);
            let slot_limit = if late {
                SlotLimit::Unreserved
            } else {
                SlotLimit::All
            };
            let centre = &node.settings.data_centre;
            let placed = state.choose_leader(now, centre, &key, call.work, slot_limit, avoid);
            // A stream that was begun elsewhere is worth more than a punctual start.
            let limited_until = match retried {
                true => call.deadline,
                false => call.objective(),
            };
            match placed {
                LeaderChoice::Leader(..) if must_wait => join_queue(&mut state, now, &key, call)?,
                LeaderChoice::Leader(id, _) => {
                    state.queue(&key).waiting.on_start(now);
                    let found = state.roster.get(&id).cloned();
                    let waited = now.since(since);
                    node.metrics.on_wait(waited);
                    return found.map(|e| (e, waited)).ok_or(Refusal::NoEndpoint);
                }
                LeaderChoice::Unavailable => return Err(Refusal::NoEndpoint),
                // The sweep wakes the queue when the pause has ended.
                LeaderChoice::Paused(time) if now + time + first <= call.deadline => {
                    join_queue(&mut state, now, &key, call)?
                }
                LeaderChoice::Paused(_) => return Err(Refusal::Paused),
                LeaderChoice::Limited(time) if now + time + first <= limited_until => {
                    join_queue(&mut state, now, &key, call)?
                }
                LeaderChoice::Limited(_) => return Err(Refusal::Limited),
                LeaderChoice::Full => join_queue(&mut state, now, &key, call)?,
            }
        };
        let (id, waiter) = waiter;
        let guard = QueueGuard {
            node,
            key: &key,
            id,
        };
        let limit = node.clock.instant(call.deadline);
        let outcome = tokio::time::timeout_at(limit, waiter).await;
        drop(guard);
        woken = match outcome {
            Ok(Ok(true)) => true,
            Ok(_) => return Err(Refusal::WaitedOut),
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
            let placed = state.choose_leader(now, centre, &key, call.work, SlotLimit::All, &avoid);
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

/// Adds the call to its queue. Returns its id there and the receiver that wakes it.
fn join_queue(
    state: &mut State,
    now: Time,
    key: &ModelKey,
    call: &Call,
) -> Result<(u64, oneshot::Receiver<bool>), Refusal> {
    state.last_queue_id += 1;
    let id = state.last_queue_id;
    let queue = state.queue(key);
    let request = QueuedRequest {
        id,
        priority: call.priority,
        received: call.received,
        objective: call.objective(),
        deadline: call.deadline,
    };
    queue
        .waiting
        .enqueue(now, request)
        .map_err(|_| Refusal::LineFull)?;
    let (waker, waiter) = oneshot::channel();
    queue.wakers.insert(id, waker);
    Ok((id, waiter))
}
