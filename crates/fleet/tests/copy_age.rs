//! Tests of the ages at which entries ask the store, with the time that a change takes.

mod support;

use std::time::Duration;

use bulrushhoist_core::Time;
use bulrushhoist_fleet::{AgeLimits, CopyAge, Distance, Place};
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use support::ms;

const BOUNDS: [Duration; 4] = [
    Duration::from_secs(1),
    Duration::from_secs(2),
    Duration::from_secs(3),
    Duration::from_secs(8),
];
/// Time that a call to the store may take.
const CALL_TIME: Duration = Duration::from_millis(80);
/// Read calls that the store accepts in a second.
const READS_PER_S: usize = 2_000;
/// Kinds of objects that an entry asks for.
const KINDS: usize = 3;

fn place(distance: Distance, draw: f64, entries: usize) -> Place {
    Place {
        distance,
        draw,
        entries,
    }
}

/// Guards against stages that each keep a time limit of their own and together exceed the
/// bound: an entry in contact with the store must have a change within it, whichever others
/// have lost the store, and however old its copy was.
#[test]
fn a_change_takes_longer_than_its_bound_when_others_lose_the_store() {
    let mut rng = SmallRng::seed_from_u64(1);
    for bound in BOUNDS {
        let limits = AgeLimits::within(bound);
        for _ in 0..2_000 {
            let draw = rng.random_range(0.0..1.0);
            let distance = match rng.random_range(0..3) {
                0 => Distance::Watcher,
                1 => Distance::Hub,
                _ => Distance::Follower,
            };
            let lost_at = ms(10_000);
            let mut age = CopyAge::default();
            let oldest = limits.watch_wait().as_millis() as u64;
            age.on_answer(lost_at - Duration::from_millis(rng.random_range(0..=oldest)));
            let place = place(distance, draw, rng.random_range(1..2_000));
            let due = age.due_at(limits, place).unwrap();
            let in_force = due.max(lost_at) + CALL_TIME;
            assert!(in_force <= lost_at + bound, "{bound:?} {place:?}");
        }
    }
}

/// Guards against followers that call the store although a watcher or a hub has just renewed
/// its copy, and so against calls that grow with the number of entries.
#[test]
fn entries_nearer_to_the_store_ask_first() {
    for bound in BOUNDS {
        let limits = AgeLimits::within(bound);
        let max_age = |distance, draw| limits.max_age(place(distance, draw, 1_400));
        let watcher = max_age(Distance::Watcher, 0.9);
        let hub = max_age(Distance::Hub, 0.9);
        let follower = max_age(Distance::Follower, 0.0);
        assert!(limits.watch_wait() < watcher, "a watch may end by itself");
        assert!(watcher + CALL_TIME / 2 < hub && hub < follower, "{bound:?}");
    }
}

/// Guards against more calls in a second than the store accepts when every entry of a large
/// deployment has to ask it, and when it answers none of them.
#[test]
fn all_entries_together_exceed_the_read_rate_of_the_store() {
    let entries = 1_400;
    let limits = AgeLimits::within(Duration::from_secs(8));
    let mut rng = SmallRng::seed_from_u64(2);
    let mut calls: Vec<Time> = Vec::new();
    for _ in 0..entries * KINDS {
        let draw = rng.random_range(0.0..1.0);
        let place = place(Distance::Follower, draw, entries);
        let mut age = CopyAge::default();
        age.on_answer(ms(0));
        let end = ms(60_000);
        loop {
            let due = age.due_at(limits, place).unwrap();
            if due >= end {
                break;
            }
            calls.push(due);
            age.on_store_failure(due + CALL_TIME, place);
        }
    }
    calls.sort_unstable();
    let window = Duration::from_secs(1);
    let most = calls.iter().enumerate().map(|(i, start)| {
        let end = calls.partition_point(|t| *t < *start + window);
        end - i
    });
    let first = calls.partition_point(|t| *t < ms(0) + Duration::from_secs(8));
    let mean = (calls.len() - first) / 52;
    assert!(
        mean < READS_PER_S / 4,
        "{mean} calls a second while it is down"
    );
    let most = most.max().unwrap();
    assert!(most <= READS_PER_S, "{most} calls in a second");
}

/// Guards against an entry that never asks again after failures, or without a pause.
#[test]
fn failed_calls_are_repeated_after_growing_pauses() {
    let limits = AgeLimits::within(Duration::from_secs(2));
    let watcher = place(Distance::Watcher, 0.5, 7);
    let mut age = CopyAge::default();
    age.on_answer(ms(0));
    let due = age.due_at(limits, watcher).unwrap();
    age.on_store_failure(due, watcher);
    assert!(age.may_call(due), "the first failure is repeated at once");
    let mut now = due;
    for _ in 0..40 {
        age.on_store_failure(now, watcher);
        assert!(!age.may_call(now));
        let next = age.due_at(limits, watcher).unwrap();
        assert!(next > now && next <= now + Duration::from_millis(800));
        now = next;
    }
    age.on_store_answer(now);
    assert!(age.may_call(now));
    assert!(age.due_at(limits, watcher).unwrap() > now);
}
