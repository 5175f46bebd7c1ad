//! Tests of the pauses that endpoints ask for.

use std::time::Duration;

use bulrushhoist_core::Time;
use bulrushhoist_fleet::{MAX_PAUSE, Name, Pauses};
use proptest::collection::vec;
use proptest::prelude::proptest;

/// Number of endpoints of the random series.
const ENDPOINTS: u8 = 3;

proptest! {
    /// Guards against a shorter pause that cuts a longer one, a pause that outlives its
    /// incarnation or the maximum, and one that concerns another endpoint. The reference
    /// keeps all pauses ever asked for.
    #[test]
    fn a_pause_is_cut_or_outlives_its_incarnation(
        series in vec((0..ENDPOINTS, 1..4_u64, 0..8_000_000_u64, 0..5_000_u64), 1..60)
    ) {
        let names: Vec<Name> = (0..ENDPOINTS).map(|n| format!("vm-{n}").into()).collect();
        let mut pauses = Pauses::default();
        let mut asked: Vec<(u8, u64, Time)> = Vec::new();
        let mut now = Time::from_millis(1);
        for (endpoint, incarnation, pause_ms, step_ms) in series {
            now = now + Duration::from_millis(step_ms);
            let time = Duration::from_millis(pause_ms);
            pauses.pause(now, &names[usize::from(endpoint)], incarnation, time);
            asked.retain(|(e, i, _)| *e != endpoint || *i == incarnation);
            asked.push((endpoint, incarnation, now + time.min(MAX_PAUSE)));
            for other in 0..ENDPOINTS {
                for run in 1..4 {
                    let of = asked.iter().filter(|(e, i, _)| (*e, *i) == (other, run));
                    let end = of.map(|(.., end)| *end).max().filter(|end| *end > now);
                    let expected = end.map(|end| end.since(now));
                    let name = &names[usize::from(other)];
                    assert_eq!(pauses.remaining(now, name, run), expected);
                }
            }
        }
    }
}

/// Guards against pauses that are kept without end.
#[test]
fn ended_pauses_are_kept_without_end() {
    let mut pauses = Pauses::default();
    for n in 0..100_000 {
        let id: Name = format!("vm-{n}").into();
        pauses.pause(Time::from_millis(n), &id, 1, Duration::from_millis(5));
    }
    assert!(pauses.count(Time::from_millis(99_999)) <= 5);
}
