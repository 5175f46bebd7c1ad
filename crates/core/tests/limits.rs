//! Limits of replicas that turned slow and recovered.

use std::time::Duration;

use bulrushhoist_core::{LimitSettings, ReplicaLimit, Time};

const SETTINGS: LimitSettings = LimitSettings {
    cold: 4,
    warm: 32,
    ramp: 8,
    target: Duration::from_millis(1_300),
};

/// Time between two reports of an endpoint.
const REPORT_PERIOD: Duration = Duration::from_millis(500);

#[test]
fn a_limit_that_slow_answers_reduced_recovers_without_answers() {
    // An entry whose share fell to none gets no answers to learn from.
    let mut limit = ReplicaLimit::new(SETTINGS);
    let mut now = Time::from_millis(1_000);
    limit.on_report(now, 1, 1_000);
    assert_eq!(limit.total(), SETTINGS.warm);
    for _ in 0..20 {
        now = now + SETTINGS.target;
        limit.on_first_token(now, SETTINGS.target.mul_f64(1.5));
    }
    assert_eq!(limit.total(), 1);
    // A minute of reports.
    for _ in 0..120 {
        now = now + REPORT_PERIOD;
        limit.on_report(now, 1, 1_000);
    }
    assert_eq!(limit.total(), SETTINGS.warm);
}

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
