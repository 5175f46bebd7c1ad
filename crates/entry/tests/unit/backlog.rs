//! Backlogs without a network: what callers get, and when memory is given back.

use std::future::poll_fn;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use super::{BacklogReader, Backlogs, CHUNK_OVERHEAD, Closed, Cut, Reading, Room};
use super::{MIN_LEADER_WAIT, MIN_UNREAD_TIME};

const LIMIT: usize = 1 << 20;

fn backlogs(max_bytes: usize) -> (Backlogs, Room) {
    let room = Room::new(max_bytes);
    (Backlogs::new(room.clone()), room)
}

fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(5)
}

fn chunk(number: u8, length: usize) -> Bytes {
    Bytes::from(vec![number; length])
}

async fn next(reader: &mut BacklogReader) -> Option<Result<Bytes, Cut>> {
    poll_fn(|cx| reader.poll_next(cx)).await
}

/// Guards against a leader that is held up by a caller which doesn't read, and against events
/// that the caller then misses, gets twice or in another order.
#[tokio::test]
async fn a_caller_within_its_bound_holds_up_its_leader() {
    let (all, room) = backlogs(LIMIT);
    let (sender, mut reader) = all.open(Reading::Ahead);
    for number in 0..200 {
        let pushed = sender.push(chunk(number, 1_024), deadline());
        let pushed = tokio::time::timeout(Duration::ZERO, pushed).await;
        assert_eq!(pushed.unwrap(), Ok(()), "no push waits");
    }
    sender.end(false);
    assert_eq!(room.used(), 200 * (1_024 + CHUNK_OVERHEAD));
    for number in 0..200 {
        assert_eq!(next(&mut reader).await, Some(Ok(chunk(number, 1_024))));
    }
    assert_eq!(next(&mut reader).await, None);
    assert_eq!(room.used(), 0);
    assert!(!sender.was_unread());
}

/// Guards against copies of the bytes, and against a delay for a caller that reads in time.
#[tokio::test]
async fn a_chunk_is_copied_or_delayed() {
    let (all, room) = backlogs(LIMIT);
    let (sender, mut reader) = all.open(Reading::Ahead);
    for length in [100, 64 * 1_024] {
        let bytes = chunk(1, length);
        let place = bytes.as_ptr();
        let (pushed, read) = tokio::join!(sender.push(bytes, deadline()), next(&mut reader));
        assert_eq!(pushed, Ok(()));
        let read = read.unwrap().unwrap();
        assert_eq!(read.as_ptr(), place);
        let counted = if length == 100 {
            0
        } else {
            length + CHUNK_OVERHEAD
        };
        assert_eq!(room.used(), counted, "large ones count until written");
    }
    assert_eq!(room.used(), 0);
}

/// Guards against a caller beyond its bound that loses what the entry has, or whose answer
/// looks whole.
#[tokio::test]
async fn the_end_of_a_slow_caller_looks_whole() {
    let (all, _) = backlogs(LIMIT);
    let (sender, mut reader) = all.open(Reading::Ahead);
    let mut kept = 0;
    let closed = loop {
        match sender.push(chunk(1, 10_000), deadline()).await {
            Ok(()) => kept += 1,
            Err(closed) => break closed,
        }
    };
    assert_eq!(
        (kept, closed),
        (25, Closed::TooSlow(26 * (10_000 + CHUNK_OVERHEAD)))
    );
    for _ in 0..kept {
        assert!(matches!(next(&mut reader).await, Some(Ok(_))));
    }
    assert_eq!(next(&mut reader).await, Some(Err(Cut)));
}

/// Guards against memory that isn't given back, and a stream that isn't ended, as its caller
/// has left, also while the stream waits.
#[tokio::test]
async fn a_caller_that_left_keeps_its_memory() {
    let (all, room) = backlogs(LIMIT);
    let (sender, reader) = all.open(Reading::Ahead);
    assert_eq!(sender.push(chunk(1, 100_000), deadline()).await, Ok(()));
    drop(reader);
    assert_eq!(room.used(), 0);
    assert_eq!(sender.closed().await, Closed::CallerLeft);
    let (sender, reader) = all.open(Reading::Paced);
    let leaving = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        drop(reader);
    };
    let pushing = async {
        loop {
            if let Err(closed) = sender.push(chunk(1, 10), deadline()).await {
                return closed;
            }
        }
    };
    let (closed, ()) = tokio::join!(pushing, leaving);
    assert_eq!(closed, Closed::CallerLeft);
}

/// Guards against memory that one slow caller keeps from the others and from bodies.
#[tokio::test]
async fn the_caller_that_holds_most_keeps_others_out() {
    let (all, room) = backlogs(300_000);
    let (most, mut most_reader) = all.open(Reading::Ahead);
    let (other, _other_reader) = all.open(Reading::Ahead);
    assert_eq!(most.push(chunk(1, 200_000), deadline()).await, Ok(()));
    assert_eq!(other.push(chunk(1, 90_000), deadline()).await, Ok(()));
    assert_eq!(other.push(chunk(1, 90_000), deadline()).await, Ok(()));
    assert_eq!(
        most.closed().await,
        Closed::TooSlow(200_000 + CHUNK_OVERHEAD)
    );
    assert_eq!(next(&mut most_reader).await, Some(Err(Cut)));
    assert_eq!(room.used(), 180_000 + 2 * CHUNK_OVERHEAD);
    assert!(all.make_room(290_000), "a body takes its place");
    assert_eq!(
        other.closed().await,
        Closed::TooSlow(180_000 + 2 * CHUNK_OVERHEAD)
    );
    assert_eq!(room.used(), 0);
    assert!(!all.make_room(300_001));
}

/// Guards against a paced stream that waits beyond its deadline, and against a break after a
/// long pause that is held against the leader, or one without it that isn't.
#[tokio::test]
async fn a_paced_stream_outlasts_its_deadline() {
    let (all, room) = backlogs(LIMIT);
    let (sender, mut reader) = all.open(Reading::Paced);
    for _ in 0..16 {
        assert_eq!(sender.push(chunk(1, 10), deadline()).await, Ok(()));
    }
    assert_eq!(room.used(), 0, "as many small chunks as ever");
    assert!(!sender.was_unread());
    let reading = async {
        tokio::time::sleep(MIN_UNREAD_TIME).await;
        next(&mut reader).await
    };
    let (pushed, _) = tokio::join!(sender.push(chunk(2, 10), deadline()), reading);
    assert_eq!(pushed, Ok(()));
    assert!(sender.was_unread());
    sender.on_resumed();
    assert!(!sender.was_unread());
    let end = Instant::now() + Duration::from_millis(50);
    let pushed = sender.push(chunk(3, 10), end).await;
    assert_eq!(pushed, Err(Closed::TimedOut));
    drop(sender);
    for number in [1; 15].into_iter().chain([2, 3]) {
        assert_eq!(next(&mut reader).await, Some(Ok(chunk(number, 10))));
    }
    assert_eq!(next(&mut reader).await, Some(Err(Cut)));
}

/// Guards against a pause that hides a failure of the leader long after the caller has read
/// everything, and against blame for a leader whose stream is still being caught up.
#[tokio::test]
async fn a_pause_hides_later_failures() {
    let (all, _) = backlogs(LIMIT);
    let (sender, mut reader) = all.open(Reading::Paced);
    for _ in 0..16 {
        assert_eq!(sender.push(chunk(1, 10), deadline()).await, Ok(()));
    }
    let reading = async {
        tokio::time::sleep(MIN_UNREAD_TIME).await;
        next(&mut reader).await
    };
    let (pushed, _) = tokio::join!(sender.push(chunk(2, 10), deadline()), reading);
    assert_eq!(pushed, Ok(()));
    sender.on_read(MIN_LEADER_WAIT);
    assert!(sender.was_unread(), "events still wait");
    for _ in 0..16 {
        assert!(matches!(next(&mut reader).await, Some(Ok(_))));
    }
    sender.on_read(Duration::ZERO);
    assert!(sender.was_unread(), "data that had arrived before");
    sender.on_read(MIN_LEADER_WAIT);
    assert!(!sender.was_unread());
}

/// Guards against streams that end for a body which has no room even without them.
#[tokio::test]
async fn streams_end_for_a_body_that_fits_nowhere() {
    let (all, _) = backlogs(300_000);
    let (large, mut large_reader) = all.open(Reading::Ahead);
    let (small, _small_reader) = all.open(Reading::Ahead);
    assert_eq!(large.push(chunk(1, 200_000), deadline()).await, Ok(()));
    assert_eq!(small.push(chunk(1, 10_000), deadline()).await, Ok(()));
    assert!(!all.make_room(295_000), "small backlogs stay");
    assert!(matches!(next(&mut large_reader).await, Some(Ok(_))));
}

/// Guards against a paced stream that waits for memory which slow callers hold.
#[tokio::test]
async fn a_paced_chunk_waits_for_slow_callers() {
    let (all, _) = backlogs(300_000);
    let (slow, _slow_reader) = all.open(Reading::Ahead);
    assert_eq!(slow.push(chunk(1, 250_000), deadline()).await, Ok(()));
    let (paced, _reader) = all.open(Reading::Paced);
    let pushed = paced.push(chunk(2, 100_000), deadline());
    let pushed = tokio::time::timeout(Duration::ZERO, pushed).await;
    assert_eq!(pushed, Ok(Ok(())));
    assert!(matches!(slow.closed().await, Closed::TooSlow(_)));
}

/// Guards against memory that a caller keeps after its stream has ended for the memory of all.
#[tokio::test]
async fn an_ended_caller_keeps_its_queue() {
    let (all, room) = backlogs(300_000);
    let (own, mut reader) = all.open(Reading::Ahead);
    let (other, _other_reader) = all.open(Reading::Ahead);
    assert_eq!(own.push(chunk(1, 200_000), deadline()).await, Ok(()));
    assert_eq!(other.push(chunk(1, 90_000), deadline()).await, Ok(()));
    let size = 200_000 + 20_000 + 2 * CHUNK_OVERHEAD;
    let closed = own.push(chunk(1, 20_000), deadline()).await;
    assert_eq!(closed, Err(Closed::TooSlow(size)));
    assert_eq!(room.used(), 90_000 + CHUNK_OVERHEAD);
    assert_eq!(next(&mut reader).await, Some(Err(Cut)));
}
