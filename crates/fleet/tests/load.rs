//! Placement and waiting when load is at its worst.

mod support;

use std::time::Duration;

use bulrushhoist_fleet::{
    Batch, COLD_DOUBT, Candidate, ColdAllowance, FirstTimes, Monitor, MonitorSettings, Name,
    PlaceSettings, Placement, PlainChoice, PlainLoad, RETURN_LEAST, Room, RosterChange, Turn,
    Vitality, WaitingLine, WaitingSettings, Work, choose_head, choose_plain, cold_doubt,
    longest_pass,
};
use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use support::{engine, ms};

fn candidate(id: &str, requests: f64) -> Candidate {
    Candidate {
        id: id.into(),
        batch: Batch {
            requests,
            unread: 0.0,
        },
        near: true,
        slowness: 1.0,
        spent: false,
    }
}

fn place(candidates: &[Candidate], seed: u64) -> Placement {
    let mut rng = SmallRng::seed_from_u64(seed);
    let work = Work {
        prompt: 1_000,
        answer: 100,
    };
    choose_head(
        &PlaceSettings::default(),
        &engine(),
        1.0,
        candidates,
        work,
        Room::All,
        &mut rng,
    )
}

#[test]
fn a_head_with_less_work_is_chosen() {
    for seed in 0..50 {
        let chosen = place(&[candidate("busy", 7.0), candidate("idle", 0.0)], seed);
        assert!(matches!(chosen, Placement::Head(id, _) if &*id == "idle"));
    }
}

#[test]
fn a_slow_head_gets_work_only_when_the_others_are_much_busier() {
    let mut slow = candidate("slow", 0.0);
    slow.slowness = 2.5;
    let chosen = place(&[slow.clone(), candidate("near", 4.0)], 1);
    assert!(matches!(chosen, Placement::Head(id, _) if &*id == "near"));
    let chosen = place(&[slow, candidate("near", 8.0)], 1);
    assert!(matches!(chosen, Placement::Head(id, _) if &*id == "slow"));
}

#[test]
fn entries_with_the_same_view_spread_over_equal_heads() {
    let heads: Vec<Candidate> = (0..8).map(|i| candidate(&format!("h{i}"), 0.0)).collect();
    let mut counts = std::collections::BTreeMap::new();
    for seed in 0..700 {
        if let Placement::Head(id, _) = place(&heads, seed) {
            *counts.entry(id).or_insert(0) += 1;
        }
    }
    assert_eq!(counts.len(), 8);
    assert!(counts.values().all(|n| *n < 700 / 4), "{counts:?}");
}

#[test]
fn full_and_spent_heads_make_requests_wait() {
    let mut spent = candidate("cold", 0.0);
    spent.spent = true;
    assert_eq!(place(&[spent, candidate("full", 8.0)], 1), Placement::Full);
    assert_eq!(place(&[], 1), Placement::Nowhere);
}

#[test]
fn a_sound_head_is_never_silent_for_longer_than_its_longest_pass() {
    let pass = longest_pass(&engine(), 1.0);
    assert!(
        pass > Duration::from_millis(200) && pass < Duration::from_millis(300),
        "{pass:?}"
    );
}

fn turn(id: u64, since: u64, objective: u64, deadline: u64) -> Turn {
    Turn {
        id,
        urgency: 1,
        since: ms(since),
        objective: ms(objective),
        deadline: ms(deadline),
    }
}

/// Requests that entries send to an endpoint that turned cold, in its busiest second,
/// if each of them always has more to send and the endpoint opens after a while.
fn cold_peak(entries: usize, per_s: f64, opens: u64) -> usize {
    let mut sent = Vec::new();
    for entry in 0..entries {
        let mut allowance = ColdAllowance::default();
        let phase = entry as f64 / entries as f64;
        allowance.set_cold(ms(0), ms(5_000), phase);
        for at in opens..5_000 {
            if allowance.has_room(ms(at), per_s, entries) {
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
    let mut line = WaitingLine::new(WaitingSettings::default());
    line.join(ms(0), turn(1, 0, 300, 6_000)).unwrap();
    line.on_start(ms(350));
    line.join(ms(400), turn(2, 400, 900, 8_000)).unwrap();
    let next = line.next(ms(500), Duration::from_millis(100)).unwrap();
    assert_eq!(next.id, 2, "the first one has missed its objective already");
    assert_eq!(
        line.next(ms(500), Duration::from_millis(100)).unwrap().id,
        1
    );
}

#[test]
fn what_cannot_start_in_time_is_turned_away_at_once() {
    let mut line = WaitingLine::new(WaitingSettings::default());
    for i in 0..20 {
        line.on_start(ms(i * 100));
    }
    let mut turned_away = 0;
    for id in 0..100 {
        match line.join(ms(2_000), turn(id, 2_000, 2_300, 8_000)) {
            Ok(()) => {}
            Err(wait) => {
                turned_away += 1;
                assert!(wait >= Duration::from_secs(2), "{wait:?}");
            }
        }
    }
    // Ten starts a second and 2.4 s of patience carry about 24 requests.
    assert!((70..80).contains(&turned_away), "{turned_away}");
    assert!(line.overdue(ms(4_000)).is_empty());
    assert_eq!(line.overdue(ms(4_500)).len(), 100 - turned_away);
}

fn plain(id: &str, requests: u32, near: bool) -> PlainLoad {
    PlainLoad {
        id: id.into(),
        requests,
        slots: 6,
        near,
        suspect: false,
        tried: false,
    }
}

#[test]
fn plain_calls_stay_near_while_there_is_room_and_avoid_suspects() {
    let mut rng = SmallRng::seed_from_u64(1);
    let near = plain("near", 1, true);
    let far = plain("far", 0, false);
    let chosen = choose_plain(&[near.clone(), far.clone()], &mut rng);
    assert_eq!(chosen, PlainChoice::Endpoint("near".into()));
    let full = plain("near", 6, true);
    let chosen = choose_plain(&[full, far.clone()], &mut rng);
    assert_eq!(chosen, PlainChoice::Endpoint("far".into()));
    let mut suspect = near;
    suspect.suspect = true;
    let chosen = choose_plain(&[suspect.clone(), far.clone()], &mut rng);
    assert_eq!(chosen, PlainChoice::Endpoint("far".into()));
    suspect.tried = true;
    let mut tried = far;
    tried.tried = true;
    assert_eq!(
        choose_plain(&[suspect, tried], &mut rng),
        PlainChoice::Nowhere
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
    let settings = PlaceSettings {
        entries: 65,
        arrivals: 84.0,
        margin: 0.0,
        ..PlaceSettings::default()
    };
    let mut engine = engine();
    engine.slots = 64;
    let mut rng = SmallRng::seed_from_u64(7);
    let mut after = loads;
    for _ in 0..84 {
        let work = Work::default();
        let placed = choose_head(&settings, &engine, 1.0, &heads, work, Room::All, &mut rng);
        let Placement::Head(id, _) = placed else {
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
    let mut line = WaitingLine::new(WaitingSettings::default());
    line.join(ms(0), turn(1, 0, 300, 6_000)).unwrap();
    let first = Duration::from_millis(150);
    assert_eq!(line.next_room(ms(100), first), Room::All);
    assert_eq!(line.next_room(ms(200), first), Room::Slack);
    assert!(!line.has_before(ms(200), first, false));
    assert!(line.has_before(ms(200), first, true));
    let seven = [candidate("busy", 7.0)];
    let mut rng = SmallRng::seed_from_u64(1);
    let mut choose = |room| {
        let settings = PlaceSettings::default();
        choose_head(
            &settings,
            &engine(),
            1.0,
            &seven,
            Work::default(),
            room,
            &mut rng,
        )
    };
    assert!(matches!(choose(Room::All), Placement::Head(..)));
    assert_eq!(choose(Room::Slack), Placement::Full);
}

#[test]
fn long_waits_dont_make_every_request_look_late() {
    let mut firsts = FirstTimes::default();
    for i in 0..1_000 {
        let took = if i % 4 == 0 { 170 } else { 900 };
        firsts.on_first(Duration::from_millis(took));
    }
    let usual = firsts.usual();
    assert!(usual < Duration::from_millis(300), "{usual:?}");
}

#[test]
fn an_entry_that_starts_takes_only_young_endpoints_for_cold() {
    let now = 1_000_000;
    let doubt = |change, age: u64| cold_doubt(change, now - age, now);
    assert_eq!(doubt(RosterChange::Added, 60_000), Duration::ZERO);
    assert_eq!(doubt(RosterChange::Added, 1_000), COLD_DOUBT);
    assert_eq!(doubt(RosterChange::Reborn, 60_000), COLD_DOUBT);
    assert_eq!(doubt(RosterChange::Updated, 1_000), Duration::ZERO);
}

#[test]
fn one_lost_answer_doesnt_make_an_endpoint_suspect() {
    let mut monitor = Monitor::new(MonitorSettings::default());
    let id = Name::from("head");
    assert!(!monitor.on_broken(ms(0), &id, 1));
    assert_eq!(monitor.vitality(ms(0), &id, 1), Vitality::Alive);
    monitor.on_life(&id, 1);
    assert!(!monitor.on_broken(ms(100), &id, 1), "it wrote in between");
    assert!(monitor.on_broken(ms(200), &id, 1));
    assert_eq!(monitor.vitality(ms(200), &id, 1), Vitality::Suspect);
}

#[test]
fn refused_callers_come_back_over_the_time_that_the_line_takes() {
    let mut line = WaitingLine::new(WaitingSettings::default());
    assert_eq!(line.return_span(ms(0)), RETURN_LEAST);
    for i in 0..20 {
        line.on_start(ms(i * 100));
    }
    for id in 0..13 {
        line.join(ms(2_000), turn(id, 2_000, 2_300, 8_000)).unwrap();
    }
    let span = line.return_span(ms(2_000));
    assert!(
        span > Duration::from_millis(1_250) && span < Duration::from_millis(1_400),
        "13 requests, 10 a second: {span:?}"
    );
}

#[test]
fn many_entries_still_use_most_of_a_heads_places() {
    let settings = PlaceSettings {
        entries: 1_400,
        ..PlaceSettings::default()
    };
    let mut rng = SmallRng::seed_from_u64(1);
    let mut choose = |requests| {
        let head = [candidate("head", requests)];
        let work = Work::default();
        choose_head(&settings, &engine(), 1.0, &head, work, Room::All, &mut rng)
    };
    assert!(matches!(choose(6.0), Placement::Head(..)));
    assert_eq!(choose(6.5), Placement::Full);
}
