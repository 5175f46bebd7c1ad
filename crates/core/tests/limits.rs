//! Tests of the limits of replicas that become slow and recover.

use std::time::Duration;

use bulrushhoist_core::{LimitSettings, ReplicaLimit, Time};

const SETTINGS: LimitSettings = LimitSettings {
    cold: 4,
    warm: 32,
    ramp: 8,
    target: Duration::from_millis(1_300),
};

/// Interval between two reports of an endpoint.
const REPORT_PERIOD: Duration = Duration::from_millis(500);

/// Guards against a limit that stays reduced for good: an entry whose share has
/// fallen to zero gets no answers from which it could see that the replica is
/// fast again, so that reports alone have to raise the limit.
#[test]
fn a_limit_that_slow_answers_reduced_recovers_without_answers() {
    let mut limit = ReplicaLimit::new(SETTINGS);
    let mut now = Time::from_millis(1_000);
    limit.on_report(now, 1, 1_000);
    assert_eq!(limit.total(), SETTINGS.warm);
    for _ in 0..20 {
        now = now + SETTINGS.target;
        limit.on_first_token(now, SETTINGS.target.mul_f64(1.5));
    }
    assert_eq!(limit.total(), 1);
    // Reports of one minute.
    for _ in 0..120 {
        now = now + REPORT_PERIOD;
        limit.on_report(now, 1, 1_000);
    }
    assert_eq!(limit.total(), SETTINGS.warm);
}

/// Guards against reports that raise the limit of a replica faster than its
/// slow answers reduce it.
#[test]
fn a_limit_stays_reduced_while_answers_are_slow() {
    let mut limit = ReplicaLimit::new(SETTINGS);
    let mut now = Time::from_millis(1_000);
    limit.on_report(now, 1, 1_000);
    for step in 0..240 {
        now = now + REPORT_PERIOD;
        limit.on_report(now, 1, 1_000);
        if step % 3 == 0 {
            limit.on_first_token(now, SETTINGS.target.mul_f64(1.5));
        }
    }
    assert!(limit.total() <= 4, "{}", limit.total());
}
