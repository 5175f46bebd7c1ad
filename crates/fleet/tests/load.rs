//! Placement and waiting when load is at its worst.

mod support;

use std::time::Duration;

use bulrushhoist_fleet::{
    ASSUMED_COLD_TIME, Batch, Candidate, ColdLimiter, FirstEventLatency, Health, HealthMonitor,
    HealthSettings, MIN_RETRY_AFTER, Name, Placement, PlacementSettings, PlainCandidate,
    PlainChoice, QueueSettings, QueuedRequest, RequestQueue, RosterChange, SlotLimit, Work,
    assumed_cold_time, choose_leader, choose_plain_endpoint, max_event_gap,
};
use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use support::{engine, ms};

fn candidate(id: &str, requests: f64) -> Candidate {
    Candidate {
        id: id.into(),
        batch: Batch {
            requests,
            prefill_tokens: 0.0,
        },
        local: true,
        slowdown: 1.0,
        cold_limited: false,
    }
}

fn place(candidates: &[Candidate], seed: u64) -> Placement {
    let mut rng = SmallRng::seed_from_u64(seed);
    let work = Work {
        prompt_tokens: 1_000,
        answer_tokens: 100,
    };
    choose_leader(
        &PlacementSettings::default(),
        &engine(),
        1.0,
        candidates,
        work,
        SlotLimit::All,
        &mut rng,
    )
}

#[test]
fn a_head_with_less_work_is_chosen() {
    for seed in 0..50 {
        let chosen = place(&[candidate("busy", 7.0), candidate("idle", 0.0)], seed);
        assert!(matches!(chosen, Placement::Leader(id, _) if &*id == "idle"));
    }
}

#[test]
fn a_slow_head_gets_work_only_when_the_others_are_much_busier() {
    let mut slow = candidate("slow", 0.0);
    slow.slowdown = 2.5;
    let chosen = place(&[slow.clone(), candidate("near", 4.0)], 1);
    assert!(matches!(chosen, Placement::Leader(id, _) if &*id == "near"));
    let chosen = place(&[slow, candidate("near", 8.0)], 1);
    assert!(matches!(chosen, Placement::Leader(id, _) if &*id == "slow"));
}

#[test]
fn entries_with_the_same_view_spread_over_equal_heads() {
    let heads: Vec<Candidate> = (0..8).map(|i| candidate(&format!("h{i}"), 0.0)).collect();
    let mut counts = std::collections::BTreeMap::new();
    for seed in 0..700 {
        if let Placement::Leader(id, _) = place(&heads, seed) {
            *counts.entry(id).or_insert(0) += 1;
        }
    }
    assert_eq!(counts.len(), 8);
    assert!(counts.values().all(|n| *n < 700 / 4), "{counts:?}");
}

#[test]
fn full_and_spent_heads_make_requests_wait() {
    let mut spent = candidate("cold", 0.0);
    spent.cold_limited = true;
    assert_eq!(place(&[spent, candidate("full", 8.0)], 1), Placement::Full);
    assert_eq!(place(&[], 1), Placement::Unavailable);
}

#[test]
fn a_sound_head_is_never_silent_for_longer_than_its_longest_pass() {
    let pass = max_event_gap(&engine(), 1.0);
    assert!(
        pass > Duration::from_millis(200) && pass < Duration::from_millis(300),
        "{pass:?}"
    );
}

fn turn(id: u64, since: u64, objective: u64, deadline: u64) -> QueuedRequest {
    QueuedRequest {
        id,
        priority: 1,
        received: ms(since),
        objective: ms(objective),
        deadline: ms(deadline),
    }
}

/// Requests that entries send to an endpoint that turned cold, in its busiest second,
/// if each of them always has more to send and the endpoint opens after a while.
fn cold_peak(entries: usize, per_s: f64, opens: u64) -> usize {
    let mut sent = Vec::new();
    for entry in 0..entries {
        let mut allowance = ColdLimiter::default();
        let phase = entry as f64 / entries as f64;
        allowance.set_cold(ms(0), ms(5_000), phase);
        for at in opens..5_000 {
            if allowance.allows(ms(at), per_s, entries) {
                allowance.on_sent(ms(at));
                sent.push(at);
            }
        }
    }
    let second = |start: u64| {
        sent.iter()
            .filter(|t| (start..start + 1_000).contains(*t))
            .count()
    };
    (0..4_000).step_by(50).map(second).max().unwrap_or(0)
}

#[test]
fn many_entries_together_spare_a_cold_endpoint() {
    // The bound is 1.5 times the rate and 5 more.
    for entries in [1, 7, 30, 65, 100] {
        for opens in [0, 1_300, 2_500] {
            let peak = cold_peak(entries, 17.0, opens);
            assert!(
                peak as f64 <= 17.0 * 1.5 + 5.0,
                "{peak} by {entries} entries"
            );
        }
    }
}

#[test]
fn work_that_can_still_be_on_time_goes_before_work_that_is_late() {
    let mut line = RequestQueue::new(QueueSettings::default());
    line.enqueue(ms(0), turn(1, 0, 300, 6_000)).unwrap();
    line.on_start(ms(350));
    line.enqueue(ms(400), turn(2, 400, 900, 8_000)).unwrap();
    let next = line.pop(ms(500), Duration::from_millis(100)).unwrap();
    assert_eq!(next.id, 2, "the first one has missed its objective already");
    assert_eq!(line.pop(ms(500), Duration::from_millis(100)).unwrap().id, 1);
}

#[test]
fn what_cannot_start_in_time_is_turned_away_at_once() {
    let mut line = RequestQueue::new(QueueSettings::default());
    for i in 0..20 {
        line.on_start(ms(i * 100));
    }
    let mut turned_away = 0;
    for id in 0..100 {
        match line.enqueue(ms(2_000), turn(id, 2_000, 2_300, 8_000)) {
            Ok(()) => {}
            Err(wait) => {
                turned_away += 1;
                assert!(wait >= Duration::from_secs(2), "{wait:?}");
            }
        }
    }
    // Ten starts a second and 2.4 s of patience carry about 24 requests.
    assert!((70..80).contains(&turned_away), "{turned_away}");
    assert!(line.take_overdue(ms(4_000)).is_empty());
    assert_eq!(line.take_overdue(ms(4_500)).len(), 100 - turned_away);
}

fn plain(id: &str, requests: u32, local: bool) -> PlainCandidate {
    PlainCandidate {
        id: id.into(),
        requests,
        slots: 6,
        local,
        suspect: false,
        tried: false,
    }
}

#[test]
fn plain_calls_stay_near_while_there_is_room_and_avoid_suspects() {
    let mut rng = SmallRng::seed_from_u64(1);
    let near = plain("near", 1, true);
    let far = plain("far", 0, false);
    let chosen = choose_plain_endpoint(&[near.clone(), far.clone()], &mut rng);
    assert_eq!(chosen, PlainChoice::Endpoint("near".into()));
    let full = plain("near", 6, true);
    let chosen = choose_plain_endpoint(&[full, far.clone()], &mut rng);
    assert_eq!(chosen, PlainChoice::Endpoint("far".into()));
    let mut suspect = near;
    suspect.suspect = true;
    let chosen = choose_plain_endpoint(&[suspect.clone(), far.clone()], &mut rng);
    assert_eq!(chosen, PlainChoice::Endpoint("far".into()));
    suspect.tried = true;
    let mut tried = far;
    tried.tried = true;
    assert_eq!(
        choose_plain_endpoint(&[suspect, tried], &mut rng),
        PlainChoice::Unavailable
    );
}

#[test]
fn with_an_old_view_heads_fill_up_to_one_level() {
    // 65 entries send 144 requests before they hear of each other's.
    let loads = [12.0, 16.0, 20.0, 20.0, 20.0, 24.0, 28.0];
    let heads = loads.iter().enumerate();
    let heads: Vec<Candidate> = heads
        .map(|(i, load)| candidate(&format!("h{i}"), *load))
        .collect();
    let settings = PlacementSettings {
        entries: 65,
        unseen_arrivals: 84.0,
        slot_margin: 0.0,
        ..PlacementSettings::default()
    };
    let mut engine = engine();
    engine.slots = 64;
    let mut rng = SmallRng::seed_from_u64(7);
    let mut after = loads;
    for _ in 0..84 {
        let work = Work::default();
        let placed = choose_leader(
            &settings,
            &engine,
            1.0,
            &heads,
            work,
            SlotLimit::All,
            &mut rng,
        );
        let Placement::Leader(id, _) = placed else {
            panic!("there is room");
        };
        after[id[1..].parse::<usize>().unwrap()] += 1.0;
    }
    // The least loaded of two random heads leaves 12 + 24 on the first and 28 + 3 on
    // the last; the level is 32.
    assert!(
        after.iter().all(|load| (22.0..43.0).contains(load)),
        "{after:?}"
    );
    assert!(after[0] - after[6] < 8.0, "{after:?}");
}

#[test]
fn late_requests_leave_places_for_punctual_ones() {
    let mut line = RequestQueue::new(QueueSettings::default());
    line.enqueue(ms(0), turn(1, 0, 300, 6_000)).unwrap();
    let first = Duration::from_millis(150);
    assert_eq!(line.next_slot_limit(ms(100), first), SlotLimit::All);
    assert_eq!(line.next_slot_limit(ms(200), first), SlotLimit::Unreserved);
    assert!(!line.has_ahead(ms(200), first, false));
    assert!(line.has_ahead(ms(200), first, true));
    let seven = [candidate("busy", 7.0)];
    let mut rng = SmallRng::seed_from_u64(1);
    let mut choose = |room| {
        let settings = PlacementSettings::default();
        choose_leader(
            &settings,
            &engine(),
            1.0,
            &seven,
            Work::default(),
            room,
            &mut rng,
        )
    };
    assert!(matches!(choose(SlotLimit::All), Placement::Leader(..)));
    assert_eq!(choose(SlotLimit::Unreserved), Placement::Full);
}

#[test]
fn long_waits_dont_make_every_request_look_late() {
    let mut firsts = FirstEventLatency::default();
    for i in 0..1_000 {
        let took = if i % 4 == 0 { 170 } else { 900 };
        firsts.record(Duration::from_millis(took));
    }
    let usual = firsts.estimate();
    assert!(usual < Duration::from_millis(300), "{usual:?}");
}

#[test]
fn an_entry_that_starts_takes_only_young_endpoints_for_cold() {
    let now = 1_000_000;
    let doubt = |change, age: u64| assumed_cold_time(change, now - age, now);
    assert_eq!(doubt(RosterChange::Added, 60_000), Duration::ZERO);
    assert_eq!(doubt(RosterChange::Added, 1_000), ASSUMED_COLD_TIME);
    assert_eq!(doubt(RosterChange::Restarted, 60_000), ASSUMED_COLD_TIME);
    assert_eq!(doubt(RosterChange::Updated, 1_000), Duration::ZERO);
}

#[test]
fn one_lost_answer_doesnt_make_an_endpoint_suspect() {
    let mut monitor = HealthMonitor::new(HealthSettings::default());
    let id = Name::from("head");
    assert!(!monitor.on_disconnect(ms(0), &id, 1));
    assert_eq!(monitor.health(ms(0), &id, 1), Health::Alive);
    monitor.on_activity(&id, 1);
    assert!(
        !monitor.on_disconnect(ms(100), &id, 1),
        "it wrote in between"
    );
    assert!(monitor.on_disconnect(ms(200), &id, 1));
    assert_eq!(monitor.health(ms(200), &id, 1), Health::Suspect);
}

#[test]
fn refused_callers_come_back_over_the_time_that_the_line_takes() {
    let mut line = RequestQueue::new(QueueSettings::default());
    assert_eq!(line.retry_after(ms(0)), MIN_RETRY_AFTER);
    for i in 0..20 {
        line.on_start(ms(i * 100));
    }
    for id in 0..13 {
        line.enqueue(ms(2_000), turn(id, 2_000, 2_300, 8_000))
            .unwrap();
    }
    let span = line.retry_after(ms(2_000));
    assert!(
        span > Duration::from_millis(1_250) && span < Duration::from_millis(1_400),
        "13 requests, 10 a second: {span:?}"
    );
}

#[test]
fn many_entries_still_use_most_of_a_heads_places() {
    let settings = PlacementSettings {
        entries: 1_400,
        ..PlacementSettings::default()
    };
    let mut rng = SmallRng::seed_from_u64(1);
    let mut choose = |requests| {
        let head = [candidate("head", requests)];
        let work = Work::default();
        choose_leader(
            &settings,
            &engine(),
            1.0,
            &head,
            work,
            SlotLimit::All,
            &mut rng,
        )
    };
    assert!(matches!(choose(6.0), Placement::Leader(..)));
    assert_eq!(choose(6.5), Placement::Full);
}
