//! Tests of the rates that endpoints name for all entries together.

mod support;

use std::time::Duration;

use bulrushhoist_core::Time;
use bulrushhoist_fleet::{
    Aged, Allowance, EntryInfo, Membership, MembershipSettings, Name, NamedLimit, NamedLimits,
    name_key,
};
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use support::ms;

const WINDOW: Duration = Duration::from_secs(4);
/// Time after the first answer with a limit from which on it must be obeyed.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time after an answer with a limit from which on its entry must obey it.
const TOLD_TIME: Duration = Duration::from_millis(500);
const STEP: Duration = Duration::from_millis(20);
const RUN_TIME: Duration = Duration::from_secs(24);

/// One entry with its view of the others.
struct Entry {
    membership: Membership,
    limits: NamedLimits,
    /// When it first passed on an answer with the limit.
    told: Option<Time>,
}

fn info(n: usize) -> EntryInfo {
    EntryInfo {
        name: format!("entry-{n}").into(),
        data_centre: format!("dc-{}", n % 3).into(),
        peers: "127.0.0.1:81".parse().unwrap(),
        callers: "127.0.0.1:80".parse().unwrap(),
        cpu_milli: 250,
    }
}

fn entries(count: usize) -> Vec<Entry> {
    let entry = |own| {
        let mut membership = Membership::new(MembershipSettings::default(), info(own), ms(0));
        for other in (0..count).filter(|n| *n != own) {
            membership.register(ms(0), info(other));
        }
        membership.refresh(ms(0));
        Entry {
            membership,
            limits: NamedLimits::default(),
            told: None,
        }
    };
    (0..count).map(entry).collect()
}

fn said(per_s: Option<f64>) -> NamedLimit {
    NamedLimit {
        endpoint: "vm-1".into(),
        incarnation: 1,
        per_s,
    }
}

impl Entry {
    fn refresh(&mut self, now: Time) {
        let membership = &self.membership;
        let holds = |id: &Name, count| membership.rate_holders(now, name_key(id), count);
        self.limits.refresh(now, holds);
    }
}

/// Runs entries at each of which callers want more than the rate. Returns when requests arrived
/// at the endpoint from entries that had to obey, and when any arrived.
fn run(rng: &mut SmallRng, count: usize, per_s: f64) -> (Vec<Time>, Vec<Time>) {
    let mut all = entries(count);
    let (mut obeying, mut arrivals) = (Vec::new(), Vec::new());
    let mut messages: Vec<(Time, usize, Aged<NamedLimit>)> = Vec::new();
    let mut now = ms(0);
    let mut first = None;
    while now < ms(0) + RUN_TIME {
        for (n, entry) in all.iter_mut().enumerate() {
            if rng.random_bool(0.0002) {
                // A restart forgets everything.
                entry.limits = NamedLimits::default();
                entry.told = None;
            }
            if rng.random_bool(0.04) {
                entry.refresh(now);
            }
            // Callers come to each entry at a rate of its own.
            let demand = per_s * 1.5 * STEP.as_secs_f64();
            let demand = demand * rng.random_range(0.5..1.5);
            if rng.random_bool(demand.min(1.0))
                && entry.limits.allowance(now, "vm-1", 1) == Allowance::Free
                && entry.limits.take(now, "vm-1", 1)
            {
                arrivals.push(now);
                first.get_or_insert(now);
                let must_obey = entry.told.is_some_and(|t| now >= t + TOLD_TIME);
                if must_obey && first.is_some_and(|f| now >= f + CONTACT_TIME) {
                    obeying.push(now);
                }
                entry.told.get_or_insert(now);
                if entry.limits.observe(now, now, &said(Some(per_s))) {
                    entry.refresh(now);
                }
            }
            if rng.random_bool(0.1) {
                for announced in entry.limits.announcements(now) {
                    let to = rng.random_range(0..count);
                    let delay = Duration::from_millis(rng.random_range(1..80));
                    messages.push((now + delay, to, announced.clone()));
                    messages.push((now + delay, (n + 1) % count, announced));
                }
            }
        }
        messages.retain(|(at, to, announced)| {
            let due = *at <= now;
            if due && all[*to].limits.merge(now, announced) {
                all[*to].refresh(now);
            }
            !due
        });
        now = now + STEP;
    }
    (obeying, arrivals)
}

fn most_in_window(times: &[Time]) -> usize {
    let within = |i: usize| times.partition_point(|t| *t < times[i] + WINDOW) - i;
    (0..times.len()).map(within).max().unwrap_or(0)
}

/// Guards against a rate that many entries exceed together, as each sends a first request or
/// has a share that is rounded up, and against one that lies idle while callers wait.
#[test]
fn entries_together_exceed_a_named_rate() {
    for (seed, count) in [1, 3, 7, 76, 300].into_iter().enumerate() {
        for per_s in [0.3, 1.0, 2.0, 3.1, 4.4, 7.0, 20.0] {
            let mut rng = SmallRng::seed_from_u64(seed as u64);
            let (obeying, arrivals) = run(&mut rng, count, per_s);
            let most = most_in_window(&obeying) as f64;
            let allowed = per_s * 1.5 * WINDOW.as_secs_f64() + 5.0;
            assert!(most <= allowed, "{count} entries, {per_s}/s: {most} in 4 s");
            let late = arrivals.iter().filter(|t| **t >= ms(8_000)).count() as f64;
            let wanted = per_s * 16.0;
            assert!(
                late >= wanted * 0.5 - 1.0,
                "{count} entries, {per_s}/s: {late} of {wanted}"
            );
        }
    }
}

/// Guards against a limit that outlives its incarnation or its last confirmation, or that an
/// answer ends which was on its way before it.
#[test]
fn a_limit_ends_too_early_or_never() {
    let mut limits = NamedLimits::default();
    let free = |limits: &NamedLimits, now, incarnation| {
        limits.allowance(now, "vm-1", incarnation) == Allowance::Free
    };
    assert!(!limits.observe(ms(0), ms(0), &said(None)), "nothing is new");
    assert!(limits.observe(ms(100), ms(50), &said(Some(2.0))));
    assert!(!free(&limits, ms(200), 1) && free(&limits, ms(200), 2));
    assert!(!limits.observe(ms(200), ms(60), &said(None)), "sent before");
    assert!(!free(&limits, ms(200), 1));
    let older = Aged {
        item: said(None),
        age: Duration::from_secs(1),
    };
    assert!(!limits.merge(ms(300), &older), "observed before");
    assert!(limits.observe(ms(400), ms(150), &said(None)));
    assert!(free(&limits, ms(400), 1));
    let stale = Aged {
        item: said(Some(2.0)),
        age: Duration::from_millis(300),
    };
    assert!(!limits.merge(ms(500), &stale), "it has ended since");
    let other = NamedLimit {
        incarnation: 2,
        ..said(Some(3.0))
    };
    assert!(limits.observe(ms(600), ms(590), &other));
    assert!(
        !limits.observe(ms(700), ms(690), &said(Some(2.0))),
        "of an earlier run"
    );
    limits.refresh(ms(10_000), |_, _| None);
    assert_eq!(
        limits.allowance(ms(10_000), "vm-1", 2),
        Allowance::HeldByOthers
    );
    limits.refresh(ms(16_000), |_, _| None);
    assert!(free(&limits, ms(16_000), 2) && limits.count() == 0);
}

/// Guards against an entry that saves up requests while it has none, or gets them twice as
/// the rate or its share changes.
#[test]
fn an_idle_entry_saves_up_requests() {
    let mut limits = NamedLimits::default();
    limits.observe(ms(0), ms(0), &said(Some(4.0)));
    limits.refresh(ms(0), |_, _| Some(2));
    let mut sent = 0;
    for at in (10_000..11_000).step_by(10) {
        if at % 100 == 0 {
            let per_s = if at % 200 == 0 { 4.0 } else { 8.0 };
            limits.observe(ms(at), ms(at), &said(Some(per_s)));
            limits.refresh(ms(at), |_, _| Some(2));
        }
        sent += usize::from(limits.take(ms(at), "vm-1", 1));
    }
    assert!(
        sent <= 5,
        "{sent} requests in a second of a share of 2 to 4"
    );
}

/// Guards against entries that disagree about who holds a rate, and against one entry that
/// holds most rates.
#[test]
fn entries_agree_on_the_holders_of_a_rate() {
    let all = entries(76);
    let mut held = vec![0; all.len()];
    for endpoint in 0..400 {
        let key = name_key(&format!("vm-{endpoint}"));
        let holds = |e: &Entry| e.membership.rate_holders(ms(10), key, 5);
        let holders: Vec<Option<usize>> = all.iter().map(holds).collect();
        assert_eq!(holders.iter().flatten().count(), 5);
        assert!(holders.iter().flatten().all(|count| *count == 5));
        for (n, _) in holders.iter().enumerate().filter(|(_, h)| h.is_some()) {
            held[n] += 1;
        }
    }
    let mean = 400 * 5 / all.len();
    let most = held.iter().max().unwrap();
    assert!(*most <= mean * 3, "{most} where {mean} is the mean");
}
