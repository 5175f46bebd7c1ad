//! Tests of what entries share: updates, the retry budget and the health of endpoints.

mod support;

use std::time::Duration;

use bulrushhoist_fleet::{
    DigestRate, EndpointLoad, EntryInfo, EntryStatus, Health, HealthMonitor, HealthSettings,
    Membership, MembershipSettings, News, RelayChoice, Report, Sender, SharedRetryBudget,
    SharedRetryBudgetSettings, name_key,
};
use support::ms;

fn entry(name: &str, cpu_milli: u32) -> EntryInfo {
    EntryInfo {
        name: name.into(),
        data_centre: "dc-a".into(),
        peers: "127.0.0.1:81".parse().unwrap(),
        callers: "127.0.0.1:80".parse().unwrap(),
        cpu_milli,
    }
}

fn status(name: &str, planning: bool) -> EntryStatus {
    EntryStatus {
        key: name_key(name),
        ready: true,
        synced: true,
        planning,
        reaches_store: true,
        cut_off: false,
    }
}

fn report(node: &str, sequence: u64) -> Report {
    Report {
        sender: Sender {
            key: name_key(node),
            incarnation: 1,
            sequence,
        },
        status: status(node, false),
        digests: DigestRate::None,
        known_entries: 0,
        news: News {
            loads: vec![EndpointLoad {
                key: 9,
                requests: 3,
                prefill_tokens: 1_000,
            }],
            ..News::default()
        },
    }
}

/// Returns the membership of one entry that knows the records of the others.
fn membership(own: &str, cpu_milli: u32, others: &[&str]) -> Membership {
    let own = entry(own, cpu_milli);
    let mut membership = Membership::new(MembershipSettings::default(), own, ms(0));
    for name in others {
        membership.register(ms(0), entry(name, 250));
    }
    membership.refresh(ms(0));
    membership
}

#[test]
fn older_report_of_the_same_run_is_ignored() {
    // Reports may arrive out of order. An older one must not replace a newer one, but a
    // restarted peer counts from 1 again.
    let mut membership = membership("a", 250, &["b"]);
    assert!(membership.on_report(ms(0), report("b", 5)));
    assert!(!membership.on_report(ms(1), report("b", 4)));
    let mut restarted = report("b", 1);
    restarted.sender.incarnation = 2;
    assert!(membership.on_report(ms(2), restarted));
    assert_eq!(
        membership.load(ms(2), 9),
        (3, 1_000),
        "each load counts once"
    );
}

#[test]
fn load_of_dead_peers_is_ignored() {
    // The requests of a dead entry end. Their last reported load would keep leaders looking
    // full.
    let mut membership = membership("a", 250, &["b", "c"]);
    membership.on_report(ms(0), report("b", 1));
    membership.on_report(ms(0), report("c", 1));
    assert_eq!(membership.load(ms(100), 9), (6, 2_000));
    for tick in 1..10 {
        membership.on_report(ms(tick * 200), report("c", 1 + tick));
        membership.tick(ms(tick * 200));
    }
    assert_eq!(membership.load(ms(2_000), 9), (3, 1_000));
    assert_eq!(membership.entry_count(ms(2_000)), 3);
}

#[test]
fn entry_that_plans_goes_on_planning() {
    // Of several planners at a time, all but one fail to store their plans, and each change of
    // the planner costs a takeover. So exactly one synced entry plans, and it keeps doing so.
    let mut first = membership("b", 250, &["a"]);
    first.on_report(ms(0), report("a", 1));
    assert!(
        !first.may_plan(ms(0), status("b", false)),
        "the lowest name goes first"
    );
    assert!(
        first.may_plan(ms(0), status("b", true)),
        "an entry that plans goes on"
    );
    let mut planning = report("a", 2);
    planning.status.planning = true;
    first.on_report(ms(0), planning.clone());
    assert!(
        !first.may_plan(ms(0), status("b", true)),
        "of two that plan, the lowest name goes on"
    );
    let mut lower = membership("0", 250, &["a"]);
    lower.on_report(ms(0), planning);
    assert!(
        !lower.may_plan(ms(0), status("0", false)),
        "an entry that doesn't plan yet doesn't take over"
    );
    for tick in 1..=25 {
        first.tick(ms(tick * 200));
    }
    assert!(
        first.may_plan(ms(5_000), status("b", false)),
        "dead peers don't count"
    );
    let mut unsynced = status("b", false);
    unsynced.synced = false;
    assert!(
        !first.may_plan(ms(5_000), unsynced),
        "an entry that isn't synced doesn't plan"
    );
}

#[test]
fn entries_together_stay_within_the_retry_budget() {
    // The bound on retries holds over all entries. If each took all of the fixed allowance,
    // they would exceed it in a burst of failures.
    let settings = SharedRetryBudgetSettings {
        ratio: 0.2,
        allowance: 132.0,
        window: Duration::from_secs(10),
    };
    let entries = 7;
    let mut taken = 0;
    let mut requests = 0;
    for _ in 0..entries {
        let mut budget = SharedRetryBudget::new(settings);
        for i in 0..500 {
            budget.on_request(ms(i * 20));
            requests += 1;
            taken += u32::from(budget.take_retry(ms(i * 20), entries));
        }
    }
    assert!(f64::from(taken) <= 0.2 * f64::from(requests) + 132.0);
    assert!(taken > 400, "most of the budget is used: {taken}");
}

#[test]
fn checking_for_a_retry_takes_none() {
    // Guards against a budget that is used up by checks of whether a retry would be possible.
    let settings = SharedRetryBudgetSettings {
        ratio: 0.0,
        allowance: 2.0,
        window: Duration::from_secs(10),
    };
    let mut budget = SharedRetryBudget::new(settings);
    assert!(budget.has_retry(ms(0), 1) && budget.has_retry(ms(0), 1));
    assert!(budget.take_retry(ms(0), 1));
    assert!(!budget.has_retry(ms(1), 1) && !budget.take_retry(ms(1), 1));
    assert!(budget.has_retry(ms(20_000), 1));
}

#[test]
fn probes_distinguish_suspect_silent_and_dead_endpoints() {
    // Guards against a member that is replaced for a single failed request, and against one
    // that is kept although it is gone. The failures of one incarnation must not count
    // against the next.
    let mut monitor = HealthMonitor::new(HealthSettings::default());
    let id = "vm-1".into();
    assert!(monitor.on_failure(ms(0), &id, 1));
    assert_eq!(monitor.health(ms(10), &id, 1), Health::Suspect);
    monitor.on_probe_timeout(ms(20), &id, 1);
    monitor.on_probe_timeout(ms(30), &id, 1);
    assert_eq!(monitor.health(ms(40), &id, 1), Health::Silent);
    assert_eq!(
        monitor.health(ms(40), &id, 2),
        Health::Alive,
        "another incarnation"
    );
    monitor.on_refused(ms(50), &id, 1);
    monitor.on_refused(ms(60), &id, 1);
    assert_eq!(monitor.health(ms(70), &id, 1), Health::Dead);
    monitor.on_activity(&id, 1);
    assert_eq!(monitor.health(ms(80), &id, 1), Health::Alive);
}

/// Guards against an endpoint that an entry never uses again: it found the endpoint silent
/// while it planned, and since then another entry sends the probes.
#[test]
fn an_endpoint_stays_silent_for_an_entry_that_no_longer_probes_it() {
    let mut monitor = HealthMonitor::new(HealthSettings::default());
    let id = "vm-1".into();
    monitor.on_probe_timeout(ms(0), &id, 1);
    monitor.on_probe_timeout(ms(1_000), &id, 1);
    assert_eq!(monitor.health(ms(3_000), &id, 1), Health::Silent);
    monitor.on_probe_timeout(ms(3_000), &id, 1);
    assert_eq!(monitor.health(ms(5_000), &id, 1), Health::Silent);
    assert_eq!(monitor.health(ms(7_000), &id, 1), Health::Alive);
}

#[test]
fn larger_vm_plans_before_a_smaller_one() {
    // Guards against planning on a small VM while an entry on a larger one is live.
    let mut large = membership("b", 500, &["a"]);
    large.on_report(ms(0), report("a", 1));
    assert!(large.may_plan(ms(0), status("b", false)));
    let mut small = membership("0", 125, &["a"]);
    small.on_report(ms(0), report("a", 1));
    assert!(!small.may_plan(ms(0), status("0", false)));
}

/// Guards against an entry that goes to the store itself because the entries that watch it
/// are the first ones of its own data centre.
#[test]
fn an_entry_finds_no_relay_among_the_watchers_of_its_data_centre() {
    let names = ["a", "b", "c", "d"];
    let choices = names.map(|own| {
        let others: Vec<&str> = names.into_iter().filter(|n| *n != own).collect();
        let mut entry = membership(own, 250, &others);
        entry.refresh(ms(0));
        entry.choose_relay(ms(0), true)
    });
    let watchers = choices.iter().filter(|c| **c == RelayChoice::Store);
    assert_eq!(watchers.count(), 2, "{choices:?}");
    for choice in &choices {
        if let RelayChoice::Entries(relays) = choice {
            assert_eq!(relays.len(), 2, "{choices:?}");
        }
    }
}
