//! Tests of what waits for a leader of one model.

use std::time::Duration;

use bulrushhoist_core::Time;
use bulrushhoist_fleet::{Discipline, Work};
use smallvec::SmallVec;
use tokio::sync::oneshot;

use super::{ModelQueue, ResumingStream};

/// Guards against new requests that take the slots for which begun streams wait.
#[test]
fn a_new_request_starts_before_a_begun_stream_that_waits() {
    let (now, first) = (Time::default(), Duration::ZERO);
    for (discipline, waits) in [
        (Discipline::OnTimeFirst, true),
        (Discipline::EarliestFirst, false),
    ] {
        let mut queue = ModelQueue::default();
        queue.waiting.set_discipline(discipline);
        let (waker, waiter) = oneshot::channel();
        queue.resuming.push_back(ResumingStream {
            waker,
            avoid: SmallVec::new(),
            work: Work::default(),
        });
        assert_eq!(queue.has_ahead(now, first, false), waits);
        drop(waiter);
        assert!(!queue.has_ahead(now, first, false), "its caller has left");
    }
}
