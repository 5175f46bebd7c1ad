//! Tests of leader choice, queueing and health under high load.

mod support;

use std::time::Duration;

use bulrushhoist_fleet::{
    ASSUMED_COLD_TIME, Batch, Candidate, ColdLimiter, ColdShare, FirstEventLatency, Health,
    HealthMonitor, HealthSettings, LeaderChoice, LeaderChoiceSettings, MIN_RETRY_AFTER, Name,
    PlainCandidate, PlainChoice, QueueSettings, QueuedRequest, RequestQueue, RosterChange,
    SlotLimit, Work, assumed_cold_time, choose_leader, choose_plain_endpoint, max_event_gap,
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
        own: Batch::default(),
        local: true,
        slowdown: 1.0,
        cold_limited: false,
    }
}

fn choose(candidates: &[Candidate], seed: u64) -> LeaderChoice {
    let mut rng = SmallRng::seed_from_u64(seed);
    let work = Work {
        prompt_tokens: 1_000,
        answer_tokens: 100,
    };
    choose_leader(
        &LeaderChoiceSettings::default(),
        &engine(),
        1.0,
        candidates,
        work,
        SlotLimit::All,
        &mut rng,
    )
}

#[test]
fn less_loaded_leader_is_chosen() {
    // Guards against uneven batches, which slow every request of the fuller one.
    for seed in 0..50 {
        let chosen = choose(&[candidate("busy", 7.0), candidate("idle", 0.0)], seed);
        assert!(matches!(chosen, LeaderChoice::Leader(id, _) if &*id == "idle"));
    }
}

#[test]
fn slow_leader_gets_work_only_when_others_are_much_busier() {
    // A slow leader with few requests may still take longer than a fast one with many.
    let mut slow = candidate("slow", 0.0);
    slow.slowdown = 2.5;
    let chosen = choose(&[slow.clone(), candidate("fast", 4.0)], 1);
    assert!(matches!(chosen, LeaderChoice::Leader(id, _) if &*id == "fast"));
    let chosen = choose(&[slow, candidate("fast", 8.0)], 1);
    assert!(matches!(chosen, LeaderChoice::Leader(id, _) if &*id == "slow"));
}

#[test]
fn entries_with_the_same_view_spread_over_equal_leaders() {
    // All entries see the same outdated loads. Without randomness they would all send to the
    // same leader.
    let leaders: Vec<Candidate> = (0..8).map(|i| candidate(&format!("h{i}"), 0.0)).collect();
    let mut counts = std::collections::BTreeMap::new();
    for seed in 0..700 {
        if let LeaderChoice::Leader(id, _) = choose(&leaders, seed) {
            *counts.entry(id).or_insert(0) += 1;
        }
    }
    assert_eq!(counts.len(), 8);
    assert!(counts.values().all(|n| *n < 700 / 4), "{counts:?}");
}

#[test]
fn requests_wait_if_leaders_are_full_or_cold_limited() {
    // Guards against requests beyond a leader's slots or the rate limit of a cold one.
    let mut cold_limited = candidate("cold", 0.0);
    cold_limited.cold_limited = true;
    assert_eq!(
        choose(&[cold_limited, candidate("full", 8.0)], 1),
        LeaderChoice::Full
    );
    assert_eq!(choose(&[], 1), LeaderChoice::Unavailable);
}

#[test]
fn max_event_gap_covers_a_full_pass() {
    // An event gap estimated too small makes healthy leaders look stalled; one that is too
    // large delays the detection of stalled ones.
    let gap = max_event_gap(&engine(), 1.0);
    assert!(
        gap > Duration::from_millis(200) && gap < Duration::from_millis(300),
        "{gap:?}"
    );
}

fn queued(id: u64, received: u64, objective: u64, deadline: u64) -> QueuedRequest {
    QueuedRequest {
        id,
        priority: 1,
        team: 0,
        received: ms(received),
        objective: ms(objective),
        deadline: ms(deadline),
        run: Duration::ZERO,
    }
}

/// Returns the number of requests that an endpoint gets in its busiest second after it
/// became cold, if every entry always has more to send and the endpoint opens at `opens`
/// (in milliseconds).
fn cold_peak(entries: usize, per_s: f64, opens: u64) -> usize {
    let mut sent = Vec::new();
    for entry in 0..entries {
        let mut limiter = ColdLimiter::default();
        let phase = entry as f64 / entries as f64;
        limiter.set_cold(ms(0), ms(5_000), phase, ColdShare::Equal);
        for at in opens..5_000 {
            if limiter.allows(ms(at), per_s, entries) {
                limiter.on_sent(ms(at));
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
fn entries_together_stay_within_the_cold_rate() {
    // The rate of a cold endpoint is a limit over all entries. With many of them, each
    // entry's share is less than one request per second, and if all send theirs at the same
    // time, the limit is exceeded.
    // The bound is 1.5 times the rate plus 5.
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
fn punctual_requests_go_before_late_ones() {
    // If late requests went first in an overload, all requests would become late.
    let mut queue = RequestQueue::new(QueueSettings::default());
    queue.enqueue(ms(0), queued(1, 0, 300, 6_000)).unwrap();
    queue.on_start(ms(350));
    queue.enqueue(ms(400), queued(2, 400, 900, 8_000)).unwrap();
    let next = queue.pop(ms(500), Duration::from_millis(100)).unwrap();
    assert_eq!(next.id, 2, "the first one has already missed its objective");
    assert_eq!(
        queue.pop(ms(500), Duration::from_millis(100)).unwrap().id,
        1
    );
}

#[test]
fn requests_that_cannot_start_in_time_are_refused_at_once() {
    // A request that waits for long and is refused then wastes the time in which its caller
    // could retry.
    let mut queue = RequestQueue::new(QueueSettings::default());
    for i in 0..20 {
        queue.on_start(ms(i * 100));
    }
    let mut refused = 0;
    for id in 0..100 {
        match queue.enqueue(ms(2_000), queued(id, 2_000, 2_300, 8_000)) {
            Ok(()) => {}
            Err(wait) => {
                refused += 1;
                assert!(wait >= Duration::from_secs(2), "{wait:?}");
            }
        }
    }
    // At ten starts per second, about 24 requests start within the 2.4 s that they may wait.
    assert!((70..80).contains(&refused), "{refused}");
    assert!(queue.take_overdue(ms(4_000)).is_empty());
    assert_eq!(queue.take_overdue(ms(4_500)).len(), 100 - refused);
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
fn plain_calls_stay_local_at_low_load_and_avoid_suspects() {
    // Guards against calls to another data centre without need, to a loaded local endpoint
    // while others are idle, and to suspect or already tried ones.
    let mut rng = SmallRng::seed_from_u64(1);
    let local = plain("local", 1, true);
    let remote = plain("remote", 0, false);
    let chosen = choose_plain_endpoint(&[local.clone(), remote.clone()], &mut rng);
    assert_eq!(chosen, PlainChoice::Endpoint("local".into()));
    let full = plain("local", 6, true);
    let chosen = choose_plain_endpoint(&[full, remote.clone()], &mut rng);
    assert_eq!(chosen, PlainChoice::Endpoint("remote".into()));
    let mut suspect = local;
    suspect.suspect = true;
    let chosen = choose_plain_endpoint(&[suspect.clone(), remote.clone()], &mut rng);
    assert_eq!(chosen, PlainChoice::Endpoint("remote".into()));
    suspect.tried = true;
    let mut tried = remote;
    tried.tried = true;
    assert_eq!(
        choose_plain_endpoint(&[suspect, tried], &mut rng),
        PlainChoice::Unavailable
    );
}

#[test]
fn water_filling_evens_out_the_load() {
    // With many arrivals between two updates, all entries would choose the leader that was
    // least loaded in the last update, and fill it far beyond the others.
    // 65 entries send 84 requests before they receive each other's next updates.
    let loads = [12.0, 16.0, 20.0, 20.0, 20.0, 24.0, 28.0];
    let leaders = loads.iter().enumerate();
    let leaders: Vec<Candidate> = leaders
        .map(|(i, load)| candidate(&format!("h{i}"), *load))
        .collect();
    let settings = LeaderChoiceSettings {
        entries: 65,
        unseen_arrivals: 84.0,
        slot_margin: 0.0,
        ..LeaderChoiceSettings::default()
    };
    let mut engine = engine();
    engine.slots = 64;
    let mut rng = SmallRng::seed_from_u64(7);
    let mut after = loads;
    for _ in 0..84 {
        let work = Work::default();
        let choice = choose_leader(
            &settings,
            &engine,
            1.0,
            &leaders,
            work,
            SlotLimit::All,
            &mut rng,
        );
        let LeaderChoice::Leader(id, _) = choice else {
            panic!("a leader has free slots");
        };
        after[id[1..].parse::<usize>().unwrap()] += 1.0;
    }
    // The level is 32. A choice of the less loaded of two random leaders would leave 12 + 24
    // on the first and 28 + 3 on the last.
    assert!(
        after.iter().all(|load| (22.0..43.0).contains(load)),
        "{after:?}"
    );
    assert!(after[0] - after[6] < 8.0, "{after:?}");
}

#[test]
fn late_requests_use_only_unreserved_slots() {
    // Each entry has its own queue. The late requests of one must not take the slots that
    // punctual requests of another need.
    let mut queue = RequestQueue::new(QueueSettings::default());
    queue.enqueue(ms(0), queued(1, 0, 300, 6_000)).unwrap();
    let first = Duration::from_millis(150);
    assert_eq!(queue.next_slot_limit(ms(100), first), SlotLimit::All);
    assert_eq!(queue.next_slot_limit(ms(200), first), SlotLimit::Unreserved);
    assert!(!queue.has_ahead(ms(200), first, false));
    assert!(queue.has_ahead(ms(200), first, true));
    let busy = [candidate("busy", 7.0)];
    let mut rng = SmallRng::seed_from_u64(1);
    let mut choose = |slot_limit| {
        let settings = LeaderChoiceSettings::default();
        choose_leader(
            &settings,
            &engine(),
            1.0,
            &busy,
            Work::default(),
            slot_limit,
            &mut rng,
        )
    };
    assert!(matches!(choose(SlotLimit::All), LeaderChoice::Leader(..)));
    assert_eq!(choose(SlotLimit::Unreserved), LeaderChoice::Full);
}

#[test]
fn long_waits_do_not_raise_the_first_event_estimate() {
    // In an overload most first events come late. If the estimate followed them, every new
    // request would count as late, and none would go first.
    let mut latency = FirstEventLatency::default();
    for i in 0..1_000 {
        let took = if i % 4 == 0 { 170 } else { 900 };
        latency.record(Duration::from_millis(took));
    }
    let estimate = latency.estimate();
    assert!(estimate < Duration::from_millis(300), "{estimate:?}");
}

#[test]
fn started_entry_assumes_only_young_endpoints_to_be_cold() {
    // To an entry that has just started every endpoint is new. If it took them all for cold, it
    // would send next to nothing for seconds.
    let now = 1_000_000;
    let assumed = |change, age: u64| assumed_cold_time(change, now - age, now);
    assert_eq!(assumed(RosterChange::Added, 60_000), Duration::ZERO);
    assert_eq!(assumed(RosterChange::Added, 1_000), ASSUMED_COLD_TIME);
    assert_eq!(assumed(RosterChange::Restarted, 60_000), ASSUMED_COLD_TIME);
    assert_eq!(assumed(RosterChange::Updated, 1_000), Duration::ZERO);
}

#[test]
fn single_lost_answer_does_not_make_an_endpoint_suspect() {
    // Single answers get lost at healthy endpoints. Suspecting these would move their load to
    // the others.
    let mut monitor = HealthMonitor::new(HealthSettings::default());
    let id = Name::from("leader");
    assert!(!monitor.on_disconnect(ms(0), &id, 1));
    assert_eq!(monitor.health(ms(0), &id, 1), Health::Alive);
    monitor.on_activity(&id, 1);
    assert!(
        !monitor.on_disconnect(ms(100), &id, 1),
        "it sent an event in between"
    );
    assert!(monitor.on_disconnect(ms(200), &id, 1));
    assert_eq!(monitor.health(ms(200), &id, 1), Health::Suspect);
}

#[test]
fn retry_after_is_the_time_the_queue_takes_to_empty() {
    // Refused callers that come back before the queue is empty are refused again.
    let mut queue = RequestQueue::new(QueueSettings::default());
    assert_eq!(queue.retry_after(ms(0)), MIN_RETRY_AFTER);
    for i in 0..20 {
        queue.on_start(ms(i * 100));
    }
    for id in 0..13 {
        queue
            .enqueue(ms(2_000), queued(id, 2_000, 2_300, 8_000))
            .unwrap();
    }
    let delay = queue.retry_after(ms(2_000));
    assert!(
        delay > Duration::from_millis(1_250) && delay < Duration::from_millis(1_400),
        "13 requests at 10 per second: {delay:?}"
    );
}

#[test]
fn slot_margin_is_bounded_with_many_entries() {
    // The margin grows with the number of entries. Without a bound, 1,400 entries would leave
    // more than half of the slots unused.
    let settings = LeaderChoiceSettings {
        entries: 1_400,
        ..LeaderChoiceSettings::default()
    };
    let mut rng = SmallRng::seed_from_u64(1);
    let mut choose = |requests| {
        let leader = [candidate("leader", requests)];
        let work = Work::default();
        choose_leader(
            &settings,
            &engine(),
            1.0,
            &leader,
            work,
            SlotLimit::All,
            &mut rng,
        )
    };
    assert!(matches!(choose(6.0), LeaderChoice::Leader(..)));
    assert_eq!(choose(6.5), LeaderChoice::Full);
}

#[test]
fn choices_without_prediction_are_unchanged() {
    // Guards services whose loads aren't predicted against other choices or random draws than
    // before the prediction was added. The sequences are of the build before it.
    let loads = [1.0, 6.0, 3.0, 7.0, 2.0, 0.0, 4.0, 2.5];
    let leaders = loads.iter().enumerate();
    let leaders: Vec<Candidate> = leaders
        .map(|(i, load)| candidate(&i.to_string(), *load))
        .collect();
    let sequence = |entries, unseen_arrivals, slot_limit| {
        let settings = LeaderChoiceSettings {
            entries,
            unseen_arrivals,
            ..LeaderChoiceSettings::default()
        };
        let mut rng = SmallRng::seed_from_u64(5);
        let mut draw = || {
            let work = Work::default();
            let engine = engine();
            match choose_leader(
                &settings, &engine, 1.0, &leaders, work, slot_limit, &mut rng,
            ) {
                LeaderChoice::Leader(id, _) => id.to_string(),
                other => format!("{other:?}"),
            }
        };
        (0..24).map(|_| draw()).collect::<String>()
    };
    assert_eq!(sequence(7, 0.0, SlotLimit::All), "754545074405555455555445");
    assert_eq!(
        sequence(73, 0.0, SlotLimit::Unreserved),
        "250560004477064202070742"
    );
    assert_eq!(
        sequence(130, 60.0, SlotLimit::All),
        "075572456666147122574024"
    );
}
