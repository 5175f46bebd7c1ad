//! Tests of the times of a planned stop.

use std::time::Duration;

use bulrushhoist_core::Time;
use bulrushhoist_fleet::{QueuedRequest, RequestQueue, StopPlan};
use proptest::prelude::{prop_assert, proptest};

proptest! {
    /// Guards against a short grace period in which the process exits before the time until
    /// which it takes requests, or after it is killed.
    #[test]
    fn a_process_exits_before_the_requests_that_it_took(
        grace_ms in 1_000..60_000_u64,
        arrival_ms in 0..60_000_u64,
        lasting_ms in 0..20_000_u64,
    ) {
        let grace = Duration::from_millis(grace_ms);
        let plan = StopPlan::within(grace);
        prop_assert!(plan.full_service < plan.close && plan.close < plan.last_accept);
        prop_assert!(plan.last_accept < plan.exit && plan.exit < grace);
        let arrival = Duration::from_millis(arrival_ms);
        let deadline = arrival + Duration::from_millis(lasting_ms);
        if arrival >= plan.full_service && plan.takes(arrival, deadline) {
            prop_assert!(deadline < plan.exit);
        }
        prop_assert!(!plan.takes(grace, grace));
    }
}

#[test]
fn the_usual_grace_period_is_used_to_its_end() {
    let plan = StopPlan::within(Duration::from_secs(8));
    assert_eq!(plan.full_service, Duration::from_millis(2_900));
    assert_eq!(plan.close, Duration::from_millis(3_500));
    assert_eq!(plan.exit, Duration::from_millis(7_300));
}

/// Guards against waiting requests that are cut off with the process, or refused though they
/// would end before it.
#[test]
fn a_waiting_request_is_kept_beyond_the_exit() {
    let second = Duration::from_secs(1);
    let plan = StopPlan::within(second * 8);
    assert!(plan.last_end() < plan.exit && plan.exit - plan.last_end() < second);
    let request = |id: u64, run: Duration| QueuedRequest {
        id,
        priority: 0,
        team: 0,
        received: Time::ZERO,
        objective: Time::ZERO + second,
        deadline: Time::ZERO + second * 20,
        run,
    };
    let mut queue = RequestQueue::default();
    for (id, run) in [(1, second), (2, second * 4), (3, Duration::ZERO)] {
        assert!(queue.enqueue(Time::ZERO, request(id, run)).is_ok());
    }
    let end = Time::ZERO + plan.last_end();
    let ids = |taken: Vec<QueuedRequest>| -> Vec<u64> { taken.iter().map(|r| r.id).collect() };
    assert!(ids(queue.take_ending_after(Time::ZERO, end)).is_empty());
    assert_eq!(
        ids(queue.take_ending_after(Time::ZERO + second * 4, end)),
        [2]
    );
    assert_eq!(ids(queue.take_ending_after(end, end)), [1]);
}
