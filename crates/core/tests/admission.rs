//! Tests of the admission queue: fair shares and refusal on arrival.

use std::time::Duration;

use bulrushhoist_core::{
    AdmissionQueue, QueueLimits, QueuedRequest, Reason, RequestId, TeamName, Time,
};

fn team(name: &str) -> TeamName {
    name.parse().expect("the name is valid")
}

fn queued(number: u128, deadline: Time) -> QueuedRequest {
    QueuedRequest {
        id: RequestId::from(number),
        deadline,
    }
}

/// Guards against a team that floods the queue and starves the others: 100
/// requests of a team with share 3 arrive before 10 of a team with share 1.
#[test]
fn a_flooding_team_gets_its_share_and_no_more() {
    let mut queue = AdmissionQueue::new(QueueLimits::default());
    let late = Time::from_millis(1_000_000);
    for number in 0..100 {
        queue
            .push(Time::ZERO, &team("large"), 3, queued(number, late))
            .expect("the queue has free capacity");
    }
    for number in 1_000..1_010 {
        queue
            .push(Time::ZERO, &team("small"), 1, queued(number, late))
            .expect("the queue has free capacity");
    }
    let first: Vec<u128> = (0..40)
        .filter_map(|_| queue.pop(Time::ZERO))
        .map(|r| r.id.get())
        .collect();
    let small = first.iter().filter(|id| **id >= 1_000).count();
    assert_eq!(
        small, 10,
        "the small team gets one start in four: {first:?}"
    );
}

/// Guards against capacity that is held back for teams without requests.
#[test]
fn idle_capacity_goes_to_the_teams_with_requests() {
    let mut queue = AdmissionQueue::new(QueueLimits::default());
    let late = Time::from_millis(1_000_000);
    for number in 0..10 {
        queue
            .push(Time::ZERO, &team("only"), 1, queued(number, late))
            .expect("the queue has free capacity");
    }
    let popped: Vec<u128> = (0..10)
        .filter_map(|_| queue.pop(Time::ZERO))
        .map(|r| r.id.get())
        .collect();
    assert_eq!(popped, (0..10).collect::<Vec<u128>>());
}

/// Guards against requests that wait in the queue only to miss their deadline:
/// with ten requests queued and one start per 100 ms, a request with 500 ms
/// left cannot start in time.
#[test]
fn a_request_that_cannot_start_in_time_is_refused_on_arrival() {
    let mut queue = AdmissionQueue::new(QueueLimits::default());
    let late = Time::from_millis(1_000_000);
    for number in 0..20 {
        queue
            .push(Time::ZERO, &team("a"), 1, queued(number, late))
            .expect("the queue has free capacity");
    }
    // One start per 100 ms.
    for step in 0..10 {
        queue.pop(Time::from_millis(step * 100));
    }
    let now = Time::from_millis(1_000);
    let soon = queued(100, now + Duration::from_millis(500));
    assert_eq!(
        queue.push(now, &team("a"), 1, soon),
        Err(Reason::Overloaded)
    );
    let later = queued(101, now + Duration::from_millis(5_000));
    assert_eq!(queue.push(now, &team("a"), 1, later), Ok(()));
}

/// Guards against requests that stay queued after their deadline without an
/// answer to their caller.
#[test]
fn requests_past_their_deadline_are_removed_and_returned() {
    let mut queue = AdmissionQueue::new(QueueLimits::default());
    let soon = Time::from_millis(10);
    queue
        .push(Time::ZERO, &team("a"), 1, queued(1, soon))
        .expect("the queue has free capacity");
    assert!(queue.expire(Time::from_millis(9)).is_empty());
    assert_eq!(queue.expire(soon), vec![RequestId::from(1)]);
    assert!(queue.is_empty());
}
