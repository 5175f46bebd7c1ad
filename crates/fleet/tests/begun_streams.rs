//! Tests of the choice of a leader that resumes a begun stream.

mod support;

use std::time::Duration;

use bulrushhoist_fleet::{
    Batch, Candidate, LeaderChoice, LeaderChoiceSettings, RequestTimes, SlotLimit, Work,
    choose_leader,
};
use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use support::{engine, ms};

/// Guards against a begun stream that isn't resumed though slots are free, because its entry
/// has used its share of the room.
#[test]
fn a_begun_stream_waits_for_a_share_of_the_room() {
    let mut engine = engine();
    engine.slots = 30;
    let mut times = RequestTimes::default();
    for at in 0..20 {
        times.on_sent(ms(900 + at * 5), 128);
    }
    let age = Duration::from_millis(400);
    let view = times.view(ms(1_000), age, Duration::from_secs(1));
    let settings = LeaderChoiceSettings {
        entries: 100,
        stale_view: Some(view),
        ..LeaderChoiceSettings::default()
    };
    let load = |requests| Batch {
        requests,
        prefill_tokens: 0.0,
    };
    let candidate = Candidate {
        id: "vm-1".into(),
        batch: load(36.0),
        own: load(5.0),
        local: true,
        slowdown: 1.0,
        cold_limited: false,
    };
    let mut rng = SmallRng::seed_from_u64(1);
    let work = Work::default();
    let mut choose = |limit| {
        let leaders = std::slice::from_ref(&candidate);
        choose_leader(&settings, &engine, 1.0, leaders, work, limit, &mut rng)
    };
    assert_eq!(choose(SlotLimit::All), LeaderChoice::Full);
    let begun = choose(SlotLimit::Begun);
    assert!(matches!(begun, LeaderChoice::Leader(..)), "{begun:?}");
}
