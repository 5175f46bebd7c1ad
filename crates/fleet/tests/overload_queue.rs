//! Tests of the queue of a latency-critical service under overload, as replays without a
//! network. A leader here starts a request at a fixed interval, and the time to the first
//! event varies by more than twofold.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use bulrushhoist_core::Time;
use bulrushhoist_fleet::{
    Discipline, FirstEventLatency, QueueSettings, QueuedRequest, RequestQueue, SlotLimit,
    StartClass, Work, expected_run_time,
};
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use support::{engine, ms};

/// Time between two starts: 50 per second.
const START_INTERVAL_MS: u64 = 20;
const DURATION_MS: u64 = 4_000;

/// Requests of one kind that arrive at this mean interval.
#[derive(Clone, Copy)]
struct Demand {
    team: u32,
    priority: u8,
    interval_ms: u64,
    objective_ms: u64,
    run_ms: u64,
}

const CHAT: Demand = Demand {
    team: 1,
    priority: 0,
    interval_ms: 10,
    objective_ms: 250,
    run_ms: 800,
};

impl Demand {
    fn request(self, id: u64, at: u64) -> QueuedRequest {
        QueuedRequest {
            id,
            priority: self.priority,
            team: self.team,
            received: ms(at),
            objective: ms(at + self.objective_ms),
            deadline: ms(at + 5_000),
            run: Duration::from_millis(self.run_ms),
        }
    }
}

/// What became of the requests of each kind.
#[derive(Clone, Debug, Default)]
struct Outcome {
    arrived: usize,
    refused: usize,
    refused_after: Vec<Duration>,
    on_time: usize,
    starts: Vec<(Time, StartClass)>,
}

fn queue(discipline: Discipline) -> RequestQueue {
    RequestQueue::new(QueueSettings {
        discipline,
        ..QueueSettings::default()
    })
}

/// Replays the demands at one queue for [`DURATION_MS`].
fn replay(discipline: Discipline, demands: &[Demand]) -> Vec<Outcome> {
    let mut rng = SmallRng::seed_from_u64(11);
    let mut queue = queue(discipline);
    let mut latency = FirstEventLatency::default();
    let mut kinds = BTreeMap::new();
    let mut outcomes = vec![Outcome::default(); demands.len()];
    for at in 0..DURATION_MS {
        let now = ms(at);
        let first = match discipline {
            Discipline::EarliestFirst => latency.estimate(),
            Discipline::OnTimeFirst => latency.high_estimate(),
        };
        for (kind, demand) in demands.iter().enumerate() {
            // At random, so that no kind always arrives just before a start.
            if rng.random_range(0..demand.interval_ms) != 0 {
                continue;
            }
            let request = demand.request(kinds.len() as u64, at);
            kinds.insert(request.id, kind);
            outcomes[kind].arrived += 1;
            if queue.enqueue_by(now, first, request).is_err() {
                outcomes[kind].refused += 1;
            }
        }
        for request in queue.take_unservable(now, first) {
            let outcome = &mut outcomes[kinds[&request.id]];
            outcome.refused += 1;
            outcome.refused_after.push(now.since(request.received));
        }
        if at % START_INTERVAL_MS == 0
            && let Some((request, class)) = queue.pop_class(now, first)
        {
            queue.on_start(now);
            let took = Duration::from_millis(rng.random_range(50..130));
            latency.record(took);
            let outcome = &mut outcomes[kinds[&request.id]];
            outcome.on_time += usize::from(now + took <= request.objective);
            outcome.starts.push((now, class));
        }
    }
    outcomes
}

/// Returns the longest time without a start of a kind that always waits.
fn longest_pause(outcome: &Outcome) -> Duration {
    let starts = outcome.starts.iter().map(|(at, _)| *at);
    let ends = starts.clone().chain([ms(DURATION_MS)]);
    let begins = [ms(0)].into_iter().chain(starts);
    let pauses = begins.zip(ends).map(|(from, to)| to.since(from));
    pauses.max().unwrap_or_default()
}

#[test]
fn twice_the_capacity_leaves_most_starts_on_time() {
    // In order of objectives every request starts at the last moment, and most first
    // events come late.
    let capacity = (DURATION_MS / START_INTERVAL_MS) as usize;
    let old = replay(Discipline::EarliestFirst, &[CHAT])[0].on_time;
    let new = replay(Discipline::OnTimeFirst, &[CHAT])[0].on_time;
    assert!(new * 10 >= capacity * 8, "{new} of {capacity}");
    assert!(old * 10 < capacity * 8, "the replay shows no fault: {old}");
}

#[test]
fn newest_request_starts_first_once_the_line_is_longer_than_the_slack() {
    // The oldest request uses up the time that the first event may take beyond its
    // estimate. With a short line it can have it, as all are on time in order.
    let first = Duration::from_millis(100);
    let next = |waiting: u64| {
        let mut queue = queue(Discipline::OnTimeFirst);
        for at in 0..100 {
            queue.on_start(ms(at * 20));
        }
        for id in 0..waiting {
            let request = CHAT.request(id, 2_000 + id);
            queue.enqueue_by(ms(2_000 + id), first, request).unwrap();
        }
        queue.pop(ms(2_010), first).map(|r| r.id)
    };
    // The oldest has 140 ms, in which seven requests start.
    assert_eq!(next(6), Some(0));
    assert_eq!(next(8), Some(7));
}

#[test]
fn team_with_most_of_the_demand_leaves_the_others_their_share() {
    // A team that sends nine tenths of the requests would get nine tenths of the starts,
    // though the others ask for less than their share.
    let large = CHAT;
    let small = Demand {
        team: 2,
        interval_ms: 90,
        ..CHAT
    };
    for discipline in [Discipline::EarliestFirst, Discipline::OnTimeFirst] {
        let outcomes = replay(discipline, &[large, small]);
        let (on_time, arrived) = (outcomes[1].on_time, outcomes[1].arrived);
        let most = on_time * 10 >= arrived * 9;
        let expected = discipline == Discipline::OnTimeFirst;
        assert_eq!(most, expected, "{on_time} of {arrived}");
    }
}

#[test]
fn urgent_priorities_go_first_and_the_others_are_not_starved() {
    // By priority alone, the lower ones get no start at all for as long as the overload
    // lasts. The bound is 500 ms, and 20 on-time starts for each waiting class, here one
    // on-time and one late class for each of three priorities.
    let demand = |priority| Demand {
        priority,
        interval_ms: 18,
        ..CHAT
    };
    let outcomes = replay(Discipline::OnTimeFirst, &[demand(0), demand(1), demand(2)]);
    let bound = Duration::from_millis(500 + START_INTERVAL_MS * 20 * 6);
    for outcome in &outcomes {
        let pause = longest_pause(outcome);
        assert!(pause <= bound, "{pause:?}");
    }
    let on_time: Vec<usize> = outcomes.iter().map(|o| o.on_time).collect();
    assert!(on_time[0] >= 140, "{on_time:?}");
    assert!(on_time[1] > 0 && on_time[2] > 0, "{on_time:?}");
}

#[test]
fn late_requests_get_reserved_starts_on_all_slots() {
    // Late requests use unreserved slots only, and new on-time ones pass them. If the
    // leaders stay nearly full, they would never start.
    let mut queue = queue(Discipline::OnTimeFirst);
    let late = Demand { team: 2, ..CHAT }.request(0, 0);
    queue.enqueue_by(ms(0), Duration::ZERO, late).unwrap();
    let first = Duration::from_millis(100);
    let mut passed = 0;
    while queue.next_slot_limit(ms(600), first) == SlotLimit::Unreserved {
        queue.on_direct_start(ms(600), first, &CHAT.request(1 + passed, 600));
        passed += 1;
        assert!(passed < 10, "passed over for ever");
    }
    let popped = queue.pop_class(ms(600), first).unwrap();
    assert_eq!((popped.0.id, popped.1), (0, StartClass::Reserved));
}

#[test]
fn reserved_start_waits_for_an_on_time_request_without_slack() {
    // A reserved start that takes the last moment of an on-time request makes it late.
    let first = Duration::from_millis(100);
    let mut queue = queue(Discipline::OnTimeFirst);
    for at in 0..100 {
        queue.on_start(ms(at * 10));
    }
    let late = Demand { team: 2, ..CHAT }.request(0, 300);
    queue.enqueue_by(ms(300), first, late).unwrap();
    for id in 1..30 {
        queue.on_direct_start(ms(900), first, &CHAT.request(100 + id, 900));
        if id == 12 {
            let urgent = CHAT.request(1, 851);
            queue.enqueue_by(ms(1_000), first, urgent).unwrap();
            let (request, class) = queue.pop_class(ms(1_000), first).unwrap();
            assert_eq!((request.id, class), (1, StartClass::OnTime));
        }
    }
    let (request, class) = queue.pop_class(ms(1_000), first).unwrap();
    assert_eq!((request.id, class), (0, StartClass::Reserved));
}

#[test]
fn unservable_requests_are_refused_at_once() {
    // A request that waits until its time has run out can't be sent elsewhere, and one
    // that starts too late to end by its deadline uses a slot for nothing.
    let outcomes = replay(Discipline::OnTimeFirst, &[CHAT]);
    let waited = outcomes[0].refused_after.iter().max();
    let waited = waited.copied().unwrap_or_default();
    assert!(outcomes[0].refused > 100, "{}", outcomes[0].refused);
    assert!(waited < Duration::from_millis(4_200), "{waited:?}");
    let refused = outcomes[0].refused_after.iter();
    let early = refused.filter(|w| **w < Duration::from_secs(1)).count();
    assert!(
        early * 10 > outcomes[0].refused * 8,
        "{early} within a second"
    );
    let first = Duration::from_millis(100);
    let mut queue = queue(Discipline::OnTimeFirst);
    let request = CHAT.request(1, 0);
    assert!(queue.enqueue_by(ms(4_199), first, request).is_ok());
    assert!(queue.take_unservable(ms(4_199), first).is_empty());
    assert_eq!(queue.take_unservable(ms(4_200), first).len(), 1);
    assert!(queue.enqueue_by(ms(4_200), first, request).is_err());
}

#[test]
fn refused_callers_come_back_at_the_rate_of_starts() {
    // Refusals leave the queue, so a time that follows only its length lets all their
    // callers come back within half a second.
    let mut queue = queue(Discipline::OnTimeFirst);
    for at in 0..20 {
        queue.on_start(ms(at * 100));
    }
    let (now, earliest) = (ms(2_000), Duration::from_millis(150));
    let remaining = Duration::from_millis(4_800);
    let mut rng = SmallRng::seed_from_u64(3);
    let mut returns = BTreeMap::new();
    let mut period = Duration::ZERO;
    for _ in 0..60 {
        queue.on_refused(now);
        period = queue.return_period(now, earliest, remaining);
        let delay = earliest + period.mul_f64(rng.random_range(0.0..=1.0));
        assert!(delay <= remaining / 3, "callers don't wait for {delay:?}");
        *returns.entry(delay.as_millis() / 200).or_insert(0) += 1;
    }
    // Ten starts per second take 60 requests in 6 s, which is longer than callers wait.
    assert!(period > Duration::from_millis(1_200), "{period:?}");
    let peak = returns.values().max();
    assert!(peak.is_some_and(|n| *n <= 20), "{returns:?}");
    let later = queue.return_period(ms(5_000), earliest, remaining);
    assert!(later <= Duration::from_millis(500), "{later:?}");
}

#[test]
fn long_and_short_requests_of_one_rank_start_alike() {
    // An order by size, or an expected run time that is taken as certain, would leave no
    // start to long requests.
    let short = Demand {
        interval_ms: 20,
        run_ms: 300,
        ..CHAT
    };
    let long = Demand {
        run_ms: 60_000,
        ..short
    };
    let outcomes = replay(Discipline::OnTimeFirst, &[short, long]);
    let on_time: Vec<usize> = outcomes.iter().map(|o| o.on_time).collect();
    assert!(on_time.iter().all(|n| *n >= 60), "{on_time:?}");
}

#[test]
fn slow_first_events_do_not_make_new_requests_late() {
    // If the high estimate counted in full, all requests would look late while the leaders
    // are slow: none would go first, and the slots reserved for on-time ones stay empty.
    let mut latency = FirstEventLatency::default();
    for _ in 0..32 {
        latency.record(Duration::from_millis(900));
    }
    let first = latency.high_estimate();
    assert!(first >= Duration::from_millis(900));
    let mut queue = queue(Discipline::OnTimeFirst);
    queue.enqueue_by(ms(0), first, CHAT.request(1, 0)).unwrap();
    assert_eq!(queue.next_slot_limit(ms(50), first), SlotLimit::All);
    assert_eq!(queue.next_slot_limit(ms(80), first), SlotLimit::Unreserved);
    assert_eq!(queue.pop(ms(80), first).map(|r| r.id), Some(1));
}

#[test]
fn high_estimate_follows_the_load_in_both_directions() {
    // The low estimate stays at the time without queueing, by which requests start too
    // late while the leaders are loaded.
    let mut latency = FirstEventLatency::default();
    for i in 0..200 {
        latency.record(Duration::from_millis(80 + i % 2 * 100));
    }
    assert!(latency.estimate() < Duration::from_millis(110));
    assert_eq!(latency.high_estimate(), Duration::from_millis(180));
    for _ in 0..16 {
        latency.record(Duration::from_millis(80));
    }
    assert!(latency.high_estimate() < Duration::from_millis(110));
}

#[test]
fn expected_run_time_covers_prompt_and_answer_on_a_full_leader() {
    // Without the answer, requests would start that can't end by their deadline.
    let work = Work {
        prompt_tokens: 1_000,
        answer_tokens: 100,
    };
    let run = expected_run_time(&engine(), 1.0, work);
    // 100 steps of 8 ms, and about 62 ms to the first token.
    assert!(
        run > Duration::from_millis(800) && run < Duration::from_millis(900),
        "{run:?}"
    );
}

#[test]
fn request_at_an_entry_with_few_starts_is_refused_for_its_start_rate() {
    // At an entry with few requests the second one that waits would count with 2 s, though
    // the leaders that it shares with others free a slot within milliseconds.
    let first = Duration::from_millis(100);
    let request = |id| QueuedRequest {
        deadline: ms(1_500),
        ..CHAT.request(id, 0)
    };
    for (starts, refused) in [(3, false), (4, true)] {
        let mut queue = queue(Discipline::OnTimeFirst);
        for _ in 0..starts {
            queue.on_start(ms(0));
        }
        // They are late, can start until 700 ms, and are served in order of deadlines.
        queue.enqueue_by(ms(300), first, request(0)).unwrap();
        let second = queue.enqueue_by(ms(300), first, request(1));
        assert_eq!(second.is_err(), refused, "{starts} starts");
        assert!(queue.take_unservable(ms(300), first).is_empty());
        let overdue = queue.take_unservable(ms(700), first);
        assert_eq!(overdue.len(), if refused { 1 } else { 2 });
        assert!(queue.enqueue_by(ms(700), first, request(2)).is_err());
    }
}
