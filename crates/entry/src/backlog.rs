//! Events of streams that wait for their callers.
//!
//! An event is in at most one place: read from the leader, in its caller's backlog, or
//! handed to the caller's connection; its bytes are never copied. They count in the memory
//! of bodies until the caller's connection has them, and those of a large one until it has
//! written them. A caller that leaves, or whose stream ends because the memory of all is used up,
//! gives them back at once. At the caller's own limit, what waits is still delivered.
//!
//! Answers the load of callers that read slowly beside leaders that cut off a response which
//! stays unread: a stream that is read ahead is over at its leader when its answer is, and
//! frees the leader's slot. Why so, see `docs/design/slow-callers.md`.

mod bounds;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::Notify;
use tokio::time::Instant;

pub(crate) use bounds::Reading;
use bounds::{Arrival, SMALL_BYTES, Verdict, verdict, victim_of_body};

/// Memory that a chunk takes beside its bytes, about: its place in the queue and the counters
/// of its references. Streams of tiny events would otherwise exceed their bound many times.
const CHUNK_OVERHEAD: usize = 96;
/// Interval at which a chunk that had no room is tried again.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Pause in reading a stream after which its break says nothing about its leader. Leaders
/// cut off a response that stays unread for some seconds.
const MIN_UNREAD_TIME: Duration = Duration::from_secs(1);
/// Wait of a read after which its data has just come from the leader. The hand-over of bytes
/// that had arrived before takes less.
const MIN_LEADER_WAIT: Duration = Duration::from_millis(10);

/// The memory that bodies and backlogs share. Clones count together.
#[derive(Clone, Debug)]
pub(crate) struct Room {
    max_bytes: usize,
    used: Arc<AtomicUsize>,
}

impl Room {
    pub(crate) fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            used: Arc::default(),
        }
    }

    pub(crate) fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    pub(crate) fn free(&self) -> usize {
        self.max_bytes.saturating_sub(self.used())
    }

    pub(crate) fn take(&self, bytes: usize) {
        self.used.fetch_add(bytes, Ordering::Relaxed);
    }

    pub(crate) fn give_back(&self, bytes: usize) {
        self.used.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// A chunk that counts until its last reference is dropped.
struct Counted {
    bytes: Bytes,
    room: Room,
    counted: usize,
}

/// Returns the memory that a chunk takes.
const fn size_of_chunk(bytes: &Bytes) -> usize {
    bytes.len() + CHUNK_OVERHEAD
}

impl AsRef<[u8]> for Counted {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.room.give_back(self.counted);
    }
}

/// Which end of a backlog is still there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Open,
    /// No chunk follows. `cut`: the caller's connection ends with an error.
    Ended {
        cut: bool,
    },
    /// It was ended for lack of memory, with this many bytes.
    Evicted(usize),
    CallerLeft,
}

struct Queue {
    phase: Phase,
    chunks: VecDeque<Counted>,
    held: usize,
    reader: Option<Waker>,
}

struct Backlog {
    id: u64,
    reading: Reading,
    queue: RefCell<Queue>,
    /// Signalled when the caller's connection has taken a chunk for which the sender waits.
    taken: Notify,
    awaited: Cell<bool>,
    /// Signalled when the caller has left, has everything, or was ended.
    closed: Notify,
}

impl Backlog {
    fn held(&self) -> usize {
        self.queue.borrow().held
    }

    fn wake_reader(&self) {
        let waker = self.queue.borrow_mut().reader.take();
        if let Some(waker) = waker {
            waker.wake();
        }
    }

    /// Drops what waits and closes both ends.
    fn close(&self, phase: Phase) {
        let mut queue = self.queue.borrow_mut();
        queue.phase = phase;
        queue.held = 0;
        let dropped = std::mem::take(&mut queue.chunks);
        drop(queue);
        drop(dropped);
        self.wake_reader();
        self.taken.notify_one();
        self.closed.notify_one();
    }
}

/// The backlogs of all callers of an entry. Clones share them.
#[derive(Clone)]
pub(crate) struct Backlogs {
    room: Room,
    /// Those of streams that are read ahead, by number.
    ahead: Rc<RefCell<BTreeMap<u64, Rc<Backlog>>>>,
    next: Rc<Cell<u64>>,
}

impl Backlogs {
    pub(crate) fn new(room: Room) -> Self {
        Self {
            room,
            ahead: Rc::default(),
            next: Rc::default(),
        }
    }

    /// Opens a backlog: the end for the stream's task, and the one for the caller's
    /// connection.
    pub(crate) fn open(&self, reading: Reading) -> (BacklogSender, BacklogReader) {
        let id = self.next.get();
        self.next.set(id + 1);
        let backlog = Rc::new(Backlog {
            id,
            reading,
            queue: RefCell::new(Queue {
                phase: Phase::Open,
                chunks: VecDeque::new(),
                held: 0,
                reader: None,
            }),
            taken: Notify::new(),
            awaited: Cell::new(false),
            closed: Notify::new(),
        });
        if reading == Reading::Ahead {
            self.ahead.borrow_mut().insert(id, backlog.clone());
        }
        let sender = BacklogSender {
            all: self.clone(),
            backlog: backlog.clone(),
            longest_pause: Cell::new(Duration::ZERO),
        };
        let reader = BacklogReader {
            all: self.clone(),
            backlog,
        };
        (sender, reader)
    }

    /// Ends streams of slow callers until this many bytes have room. Returns whether they
    /// have; if all such streams together don't hold enough, none ends.
    pub(crate) fn make_room(&self, bytes: usize) -> bool {
        let free = self.room.free();
        if bytes > free {
            let ahead = self.ahead.borrow();
            let held = ahead.iter().map(|(id, b)| (*id, b.held()));
            let held = held.filter(|b| victim_of_body(Some(*b)).is_some());
            let gain: usize = held.map(|(_, h)| h).sum();
            if bytes > free + gain {
                return false;
            }
        }
        while bytes > self.room.free() {
            let Some(id) = victim_of_body(self.largest(None)) else {
                return false;
            };
            self.evict(id);
        }
        true
    }

    /// Returns the backlog with the most bytes besides one.
    fn largest(&self, besides: Option<u64>) -> Option<(u64, usize)> {
        let ahead = self.ahead.borrow();
        let held = ahead.values().filter(|b| Some(b.id) != besides);
        let held = held.map(|b| (b.id, b.held())).filter(|(_, h)| *h > 0);
        held.max_by_key(|(_, h)| *h)
    }

    fn evict(&self, id: u64) {
        let backlog = self.ahead.borrow_mut().remove(&id);
        if let Some(backlog) = backlog {
            backlog.close(Phase::Evicted(backlog.held()));
        }
    }

    fn arrival(&self, backlog: &Backlog, more: usize) -> Arrival {
        let queue = backlog.queue.borrow();
        let (held, chunks) = (queue.held, queue.chunks.len());
        drop(queue);
        let free = self.room.free();
        let mut arrival = Arrival {
            reading: backlog.reading,
            held,
            chunks,
            more,
            free,
            ahead_free: free,
            largest: None,
        };
        // The other callers matter only once the memory is used up.
        if more > free && backlog.reading == Reading::Ahead {
            let ahead = self.ahead.borrow();
            let all: usize = ahead.values().map(|b| b.held()).sum();
            drop(ahead);
            arrival.ahead_free = self.room.max_bytes.saturating_sub(all);
            arrival.largest = self.largest(Some(backlog.id));
        }
        arrival
    }
}

/// Why a backlog takes no more chunks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Closed {
    CallerLeft,
    /// The caller reads too slowly; this many bytes waited for it.
    TooSlow(usize),
    /// The deadline has passed.
    TimedOut,
}

/// The end of a backlog for the task of the stream.
pub(crate) struct BacklogSender {
    all: Backlogs,
    backlog: Rc<Backlog>,
    /// Longest time in which the present leader's stream was not read, since its caller last
    /// had everything.
    longest_pause: Cell<Duration>,
}

impl BacklogSender {
    /// Adds a chunk, and waits as long as the stream must not be read on.
    pub(crate) async fn push(&self, bytes: Bytes, deadline: Instant) -> Result<(), Closed> {
        let started = Instant::now();
        loop {
            if let Some(closed) = self.closed_by() {
                return Err(closed);
            }
            let arrival = self.all.arrival(&self.backlog, size_of_chunk(&bytes));
            let decided = verdict(arrival);
            let retried_at = match decided {
                Verdict::Keep => break,
                Verdict::EndOwn => {
                    self.end(true);
                    return Err(Closed::TooSlow(arrival.held + arrival.more));
                }
                Verdict::DropOwn => {
                    self.all.evict(self.backlog.id);
                    return Err(Closed::TooSlow(arrival.held + arrival.more));
                }
                Verdict::End(id) => {
                    self.all.evict(id);
                    continue;
                }
                Verdict::MakeRoom if self.all.make_room(arrival.more) => continue,
                Verdict::AwaitCaller => deadline,
                Verdict::MakeRoom | Verdict::AwaitRoom => {
                    deadline.min(Instant::now() + ROOM_CHECK_INTERVAL)
                }
            };
            if Instant::now() >= deadline {
                // What has arrived in time is delivered if only its caller is late.
                if decided == Verdict::AwaitCaller {
                    self.append(bytes);
                }
                return Err(Closed::TimedOut);
            }
            self.backlog.awaited.set(true);
            // Either way the chunk is tried again.
            let _ = tokio::time::timeout_at(retried_at, self.backlog.taken.notified()).await;
            self.backlog.awaited.set(false);
            let pause = self.longest_pause.get().max(started.elapsed());
            self.longest_pause.set(pause);
        }
        self.append(bytes);
        Ok(())
    }

    fn append(&self, bytes: Bytes) {
        let size = size_of_chunk(&bytes);
        // Small chunks of a paced stream are few, so they don't count.
        let counted = match self.backlog.reading {
            Reading::Paced if size <= SMALL_BYTES => 0,
            Reading::Paced | Reading::Ahead => size,
        };
        let room = self.all.room.clone();
        room.take(counted);
        let mut queue = self.backlog.queue.borrow_mut();
        queue.held += size;
        queue.chunks.push_back(Counted {
            bytes,
            room,
            counted,
        });
        drop(queue);
        self.backlog.wake_reader();
    }

    /// Ends the answer after the chunks that wait. `cut`: as incomplete.
    pub(crate) fn end(&self, cut: bool) {
        let mut queue = self.backlog.queue.borrow_mut();
        if queue.phase == Phase::Open {
            queue.phase = Phase::Ended { cut };
        }
        drop(queue);
        self.backlog.wake_reader();
    }

    fn closed_by(&self) -> Option<Closed> {
        match self.backlog.queue.borrow().phase {
            Phase::Evicted(bytes) => Some(Closed::TooSlow(bytes)),
            Phase::CallerLeft => Some(Closed::CallerLeft),
            Phase::Open | Phase::Ended { .. } => None,
        }
    }

    /// Waits until the caller has left or has everything, or was ended for lack of memory.
    pub(crate) async fn closed(&self) -> Closed {
        loop {
            if let Some(closed) = self.closed_by() {
                return closed;
            }
            self.backlog.closed.notified().await;
        }
    }

    /// Records that another leader writes the stream now.
    pub(crate) fn on_resumed(&self) {
        self.longest_pause.set(Duration::ZERO);
    }

    /// Records that a read from the leader gave data after this time. If the caller has
    /// everything and the read had to wait, the stream has been caught up, and a later break
    /// is the leader's.
    pub(crate) fn on_read(&self, waited: Duration) {
        if waited >= MIN_LEADER_WAIT && self.backlog.held() == 0 {
            self.longest_pause.set(Duration::ZERO);
        }
    }

    /// Returns whether the present leader may have cut off the stream because it stayed
    /// unread.
    pub(crate) fn was_unread(&self) -> bool {
        self.longest_pause.get() >= MIN_UNREAD_TIME
    }
}

impl Drop for BacklogSender {
    fn drop(&mut self) {
        // A task that ends early must not make its answer look whole.
        self.end(true);
    }
}

/// The answer was cut short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Cut;

/// The end of a backlog for the caller's connection. Dropping it frees the memory.
pub(crate) struct BacklogReader {
    all: Backlogs,
    backlog: Rc<Backlog>,
}

impl BacklogReader {
    pub(crate) fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Cut>>> {
        let mut queue = self.backlog.queue.borrow_mut();
        if let Some(chunk) = queue.chunks.pop_front() {
            queue.held -= size_of_chunk(&chunk.bytes);
            drop(queue);
            if self.backlog.awaited.get() {
                self.backlog.taken.notify_one();
            }
            let bytes = match chunk.bytes.len() > SMALL_BYTES {
                true => Bytes::from_owner(chunk),
                false => chunk.bytes.clone(),
            };
            return Poll::Ready(Some(Ok(bytes)));
        }
        match queue.phase {
            Phase::Open => {
                queue.reader = Some(cx.waker().clone());
                Poll::Pending
            }
            Phase::Ended { cut: false } | Phase::CallerLeft => Poll::Ready(None),
            Phase::Ended { cut: true } | Phase::Evicted(_) => Poll::Ready(Some(Err(Cut))),
        }
    }
}

impl Drop for BacklogReader {
    fn drop(&mut self) {
        self.all.ahead.borrow_mut().remove(&self.backlog.id);
        let evicted = matches!(self.backlog.queue.borrow().phase, Phase::Evicted(_));
        if !evicted {
            self.backlog.close(Phase::CallerLeft);
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/backlog.rs"]
mod tests;
