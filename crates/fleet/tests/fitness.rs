//! Tests of the fitness of leaders that reject requests or are silent.

mod support;

use std::time::Duration;

use bulrushhoist_core::Time;
use bulrushhoist_fleet::{
    Batch, Candidate, LeaderChoice, LeaderChoiceSettings, LeaderFitness, Name, Rejection,
    SlotLimit, Work, choose_leader, max_event_gap, quiet_time, unbegun_stall_timeout,
};
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use support::{engine, ms};

const MAX_BACKOFF_MS: u64 = 2_000;

/// Guards against an unfit leader that is tried by several requests at a time, or more often
/// with every rejection, and against one that stays excluded after it has recovered.
#[test]
fn an_unfit_leader_is_tried_by_many_requests_or_never_again() {
    let leader = Name::from("vm-1");
    let mut fitness = LeaderFitness::default();
    let (mut now, mut waits) = (ms(1_000), Vec::new());
    for _ in 0..8 {
        assert_eq!(fitness.on_rejected(now, &leader, 1, 0.2), Rejection::Unfit);
        // Those that were sent before the first rejection are rejected soon after it.
        fitness.on_rejected(now + Duration::from_millis(5), &leader, 1, 0.2);
        let wait = fitness.remaining(now, &leader, 1).expect("it is excluded");
        waits.push(wait.as_millis() as u64);
        now = now + wait;
        assert!(fitness.may_send(now, &leader, 1));
        assert!(fitness.on_sent(now, &leader, 1), "it is tried");
        assert!(!fitness.may_send(now, &leader, 1), "a second one tries it");
        fitness.on_trial_ended(&leader, 1);
        assert!(fitness.may_send(now, &leader, 1), "the trial was given up");
    }
    assert!(
        waits
            .windows(2)
            .all(|w| w[1] == (w[0] * 2).min(MAX_BACKOFF_MS)),
        "{waits:?}"
    );
    assert_eq!(waits.last(), Some(&MAX_BACKOFF_MS));
    fitness.on_rejected(now, &leader, 1, 0.2);
    assert!(
        fitness.may_send(now, &leader, 2),
        "a new incarnation is excluded"
    );
    assert!(fitness.on_accepted(&leader, 1));
    assert!(fitness.may_send(now, &leader, 1));
    assert!(
        !fitness.on_sent(now, &leader, 1),
        "a fit leader is on trial"
    );
}

/// Guards against a full leader that is taken for unfit and suspected, and against one that
/// is excluded for longer than its load is unknown.
#[test]
fn a_full_leader_is_excluded_beyond_the_next_report() {
    let leader = Name::from("vm-1");
    let mut fitness = LeaderFitness::default();
    let interval = Duration::from_millis(400);
    fitness.set_report_interval(interval);
    assert_eq!(fitness.on_rejected(ms(0), &leader, 1, 0.9), Rejection::Full);
    assert!(!fitness.is_unfit(&leader, 1));
    assert_eq!(fitness.remaining(ms(0), &leader, 1), Some(interval));
    // A request that was accepted before frees no slot.
    assert!(!fitness.on_accepted(&leader, 1));
    assert!(!fitness.may_send(ms(399), &leader, 1));
    assert!(fitness.may_send(ms(400), &leader, 1));
    assert!(!fitness.on_sent(ms(400), &leader, 1));
    assert!(fitness.may_send(ms(400), &leader, 1), "one at a time");
}

/// Guards against a request that waits at a stalled leader as long as at one with a queue,
/// against a leader that counts as stalled while it reads prompts, and against new requests
/// at a leader whose begun streams are silent, until the stall is certain.
#[test]
fn a_request_waits_at_a_stalled_leader_as_if_it_were_queued() {
    let mut engine = engine();
    engine.slots = 30;
    engine.stride = 7;
    engine.step_ms = 5.95;
    engine.per_seq_ms = 0.0445;
    engine.prefill_per_s = 50_700.0;
    engine.prefill_chunk = 512;
    let begun = Duration::from_millis(450);
    let timeout = |requests, prefill_tokens| {
        let known = Batch {
            requests,
            prefill_tokens,
        };
        unbegun_stall_timeout(begun, &engine, 1.0, known)
    };
    assert_eq!(timeout(20.0, 4_000.0), begun);
    assert_eq!(timeout(30.0, 4_000.0), begun * 2);
    let reading = timeout(20.0, 16_000.0);
    assert!(reading > begun && reading < begun * 2, "{reading:?}");
    assert_eq!(timeout(20.0, 1e6), begun * 2);
    let quiet = quiet_time(&engine, 1.0);
    assert!(
        quiet >= max_event_gap(&engine, 1.0),
        "a healthy leader is quiet"
    );
    assert!(quiet < begun, "{quiet:?}");
}

const ENTRIES: usize = 73;
const LEADERS: usize = 24;
const REJECTING: usize = 3;
const SLOTS: f64 = 30.0;
const REPORT_AGE: Duration = Duration::from_millis(400);
const SUSPICION: Duration = Duration::from_millis(1_500);

/// What a replay with three leaders that reject everything gave.
#[derive(Debug, Default)]
struct Replay {
    sends: usize,
    rejected: usize,
    most_by_one: usize,
}

/// Replays six seconds of chat requests of 1 s each at all entries, whose view is as old as
/// a report.
fn replay(with_fitness: bool) -> Replay {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut engine = engine();
    engine.slots = SLOTS as u32;
    let names: Vec<Name> = (0..LEADERS).map(|n| format!("vm-{n}").into()).collect();
    let mut fitness: Vec<LeaderFitness> = Vec::new();
    fitness.resize_with(ENTRIES, LeaderFitness::default);
    let settings = LeaderChoiceSettings {
        entries: ENTRIES,
        unseen_arrivals: 421.0 * REPORT_AGE.as_secs_f64(),
        ..LeaderChoiceSettings::default()
    };
    let mut starts = vec![Vec::<Time>::new(); LEADERS];
    let mut suspected = vec![Vec::<(Time, usize)>::new(); LEADERS];
    let report_us = REPORT_AGE.as_micros() as u64;
    let mut replay = Replay::default();
    for at in (0..6_000_000_u64).step_by(2_375).map(|us| ms(us / 1_000)) {
        let entry = rng.random_range(0..ENTRIES);
        let seen = Time::from_micros(at.as_micros() / report_us * report_us);
        let second = Duration::from_secs(1);
        let mut tried: Vec<usize> = Vec::new();
        loop {
            let usable = (0..LEADERS).filter(|l| !tried.contains(l));
            let fit = usable.filter(|l| {
                let known = |(t, by): &(Time, usize)| {
                    let known = match *by == entry {
                        true => *t,
                        false => *t + REPORT_AGE,
                    };
                    known <= at && at < known + SUSPICION
                };
                fitness[entry].may_send(at, &names[*l], 1) && !suspected[*l].iter().any(known)
            });
            let candidates: Vec<Candidate> = fit
                .map(|l| {
                    let of_report = |t: &&Time| **t < seen && seen < **t + second;
                    Candidate {
                        id: names[l].clone(),
                        batch: Batch {
                            requests: starts[l].iter().filter(of_report).count() as f64,
                            prefill_tokens: 0.0,
                        },
                        own: Batch::default(),
                        local: true,
                        slowdown: 1.0,
                        cold_limited: false,
                    }
                })
                .collect();
            let (work, limit) = (Work::default(), SlotLimit::All);
            let chosen = choose_leader(&settings, &engine, 1.0, &candidates, work, limit, &mut rng);
            let LeaderChoice::Leader(id, _) = chosen else {
                break;
            };
            let leader = names.iter().position(|n| *n == id).unwrap();
            replay.sends += 1;
            if leader >= REJECTING {
                starts[leader].push(at);
                break;
            }
            replay.rejected += 1;
            tried.push(leader);
            if with_fitness {
                fitness[entry].on_sent(at, &id, 1);
                let load = candidates
                    .iter()
                    .find(|c| c.id == id)
                    .unwrap()
                    .batch
                    .requests
                    / SLOTS;
                let rejection = fitness[entry].on_rejected(at, &id, 1, load);
                assert_eq!(rejection, Rejection::Unfit);
                fitness[entry].on_trial_ended(&id, 1);
                suspected[leader].push((at, entry));
            }
        }
        replay.most_by_one = replay.most_by_one.max(tried.len());
    }
    replay
}

/// Guards against leaders that reject everything and get more requests than those that
/// serve, because a rejected request isn't in flight. No leader is to get more than an even
/// share, and no request more rejections than it may have.
#[test]
fn leaders_that_reject_everything_attract_the_requests() {
    let exceeds_share = |r: &Replay| r.rejected * LEADERS > r.sends * REJECTING;
    let before = replay(false);
    assert!(
        exceeds_share(&before),
        "the replay lacks the fault: {before:?}"
    );
    let now = replay(true);
    assert!(!exceeds_share(&now), "{now:?}");
    assert!(now.most_by_one < 4, "{now:?}");
}
