//! What entries know of each other, and the budget that they share.

mod support;

use std::time::Duration;

use bulrushhoist_fleet::{
    EndpointLoad, Health, HealthMonitor, HealthSettings, PeerSettings, PeerTable, PeerUpdate,
    SharedBudgetSettings, SharedRetryBudget,
};
use support::ms;

fn news(node: &str, sequence: u64) -> PeerUpdate {
    PeerUpdate {
        node: node.into(),
        incarnation: 1,
        sequence,
        caller_address: "127.0.0.1:80".parse().unwrap(),
        cpu_milli: 250,
        slow: Vec::new(),
        ready: true,
        synced: true,
        planning: false,
        loads: vec![EndpointLoad {
            key: 9,
            requests: 3,
            prefill_tokens: 1_000,
        }],
        suspects: Vec::new(),
        strikes: Vec::new(),
    }
}

fn book() -> PeerTable {
    PeerTable::new(PeerSettings::default())
}

#[test]
fn an_older_message_of_the_same_run_is_ignored() {
    let mut book = book();
    assert!(book.record(ms(0), news("b", 5)));
    assert!(!book.record(ms(1), news("b", 4)));
    let mut restarted = news("b", 1);
    restarted.incarnation = 2;
    assert!(book.record(ms(2), restarted));
}

#[test]
fn loads_of_silent_peers_do_not_count() {
    let mut book = book();
    book.record(ms(0), news("b", 1));
    book.record(ms(0), news("c", 1));
    assert_eq!(book.load(ms(100), 9), (6, 2_000));
    book.record(ms(2_000), news("c", 2));
    assert_eq!(book.load(ms(2_000), 9), (3, 1_000));
    assert_eq!(book.entry_count(ms(2_000)), 3);
}

#[test]
fn the_entry_that_plans_goes_on_planning() {
    let mut book = book();
    book.record(ms(0), news("a", 1));
    assert!(
        !book.may_plan(ms(0), ("b", 250), true, false),
        "the lowest name goes first"
    );
    assert!(
        book.may_plan(ms(0), ("b", 250), true, true),
        "who plans goes on"
    );
    let mut planning = news("a", 2);
    planning.planning = true;
    book.record(ms(0), planning);
    assert!(
        !book.may_plan(ms(0), ("b", 250), true, true),
        "of two that plan the lowest goes on"
    );
    assert!(
        !book.may_plan(ms(0), ("0", 250), true, false),
        "a newcomer doesn't take over"
    );
    assert!(
        book.may_plan(ms(5_000), ("b", 250), true, false),
        "silent peers don't count"
    );
    assert!(
        !book.may_plan(ms(5_000), ("b", 250), false, false),
        "without the store nobody plans"
    );
}

#[test]
fn all_entries_together_stay_within_the_retry_budget() {
    let settings = SharedBudgetSettings {
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
    assert!(taken > 400, "the budget is there to be used: {taken}");
}

#[test]
fn asking_for_a_retry_takes_none() {
    let settings = SharedBudgetSettings {
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
fn probes_show_what_is_silent_and_what_has_ended() {
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

#[test]
fn a_large_vm_plans_before_a_small_one() {
    let mut book = book();
    book.record(ms(0), news("a", 1));
    let large = ("b", 500);
    assert!(book.may_plan(ms(0), large, true, false));
    let small = ("0", 125);
    assert!(!book.may_plan(ms(0), small, true, false));
}
