//! Fair shares and early refusal.

use std::time::Duration;

use bulrushhoist_core::{
    AdmissionQueue, QueueLimits, QueuedRequest, Reason, RequestId, TeamName, Time,
};

fn team(name: &str) -> TeamName {
    name.parse().expect("a sound name")
}

fn waiting(number: u128, deadline: Time) -> QueuedRequest {
    QueuedRequest {
        id: RequestId::from(number),
        deadline,
    }
}

#[test]
fn a_flooding_team_gets_its_share_and_no_more() {
    let mut queue = AdmissionQueue::new(QueueLimits::default());
    let far = Time::from_millis(1_000_000);
    for number in 0..100 {
        queue
            .push(Time::ZERO, &team("large"), 3, waiting(number, far))
            .expect("there is room");
    }
    for number in 1_000..1_010 {
        queue
            .push(Time::ZERO, &team("small"), 1, waiting(number, far))
            .expect("there is room");
    }
    let first: Vec<u128> = (0..40)
        .filter_map(|_| queue.pop(Time::ZERO))
        .map(|w| w.id.get())
        .collect();
    let small = first.iter().filter(|id| **id >= 1_000).count();
    assert_eq!(small, 10, "one in four goes to the small team: {first:?}");
}

#[test]
fn idle_capacity_goes_to_whoever_waits() {
    let mut queue = AdmissionQueue::new(QueueLimits::default());
    let far = Time::from_millis(1_000_000);
    for number in 0..10 {
        queue
            .push(Time::ZERO, &team("only"), 1, waiting(number, far))
            .expect("there is room");
    }
    let popped: Vec<u128> = (0..10)
        .filter_map(|_| queue.pop(Time::ZERO))
        .map(|w| w.id.get())
        .collect();
    assert_eq!(popped, (0..10).collect::<Vec<u128>>());
}

#[test]
fn what_cannot_start_in_time_is_refused_on_arrival() {
    let mut queue = AdmissionQueue::new(QueueLimits::default());
    let far = Time::from_millis(1_000_000);
    for number in 0..20 {
        queue
            .push(Time::ZERO, &team("a"), 1, waiting(number, far))
            .expect("there is room");
    }
    // One start per 100 ms.
    for step in 0..10 {
        queue.pop(Time::from_millis(step * 100));
    }
    let now = Time::from_millis(1_000);
    let soon = waiting(100, now + Duration::from_millis(500));
    assert_eq!(
        queue.push(now, &team("a"), 1, soon),
        Err(Reason::Overloaded)
    );
    let later = waiting(101, now + Duration::from_millis(5_000));
    assert_eq!(queue.push(now, &team("a"), 1, later), Ok(()));
}

#[test]
fn expired_requests_are_handed_back() {
    let mut queue = AdmissionQueue::new(QueueLimits::default());
    let soon = Time::from_millis(10);
    queue
        .push(Time::ZERO, &team("a"), 1, waiting(1, soon))
        .expect("there is room");
    assert!(queue.expire(Time::from_millis(9)).is_empty());
    assert_eq!(queue.expire(soon), vec![RequestId::from(1)]);
    assert!(queue.is_empty());
}
