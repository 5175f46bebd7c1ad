//! What entries know of each other, and the budget that they share.

mod support;

use std::time::Duration;

use bulrushhoist_fleet::{
    BudgetSettings, HeadLoad, Monitor, MonitorSettings, PeerBook, PeerNews, PeerSettings,
    SharedBudget, Vitality,
};
use support::ms;

fn news(node: &str, sequence: u64) -> PeerNews {
    PeerNews {
        node: node.into(),
        incarnation: 1,
        sequence,
        front: "127.0.0.1:80".parse().unwrap(),
        cpu_milli: 250,
        slow: Vec::new(),
        ready: true,
        in_touch: true,
        planning: false,
        loads: vec![HeadLoad {
            key: 9,
            requests: 3,
            unread: 1_000,
        }],
        suspects: Vec::new(),
        strikes: Vec::new(),
    }
}

fn book() -> PeerBook {
    PeerBook::new(PeerSettings::default())
}

#[test]
fn an_older_message_of_the_same_run_is_ignored() {
    let mut book = book();
    assert!(book.hear(ms(0), news("b", 5)));
    assert!(!book.hear(ms(1), news("b", 4)));
    let mut restarted = news("b", 1);
    restarted.incarnation = 2;
    assert!(book.hear(ms(2), restarted));
}

#[test]
fn loads_of_silent_peers_do_not_count() {
    let mut book = book();
    book.hear(ms(0), news("b", 1));
    book.hear(ms(0), news("c", 1));
    assert_eq!(book.load(ms(100), 9), (6, 2_000));
    book.hear(ms(2_000), news("c", 2));
    assert_eq!(book.load(ms(2_000), 9), (3, 1_000));
    assert_eq!(book.entries(ms(2_000)), 3);
}

#[test]
fn the_entry_that_plans_goes_on_planning() {
    let mut book = book();
    book.hear(ms(0), news("a", 1));
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
    book.hear(ms(0), planning);
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
    let settings = BudgetSettings {
        ratio: 0.2,
        allowance: 132.0,
        window: Duration::from_secs(10),
    };
    let entries = 7;
    let mut taken = 0;
    let mut requests = 0;
    for _ in 0..entries {
        let mut budget = SharedBudget::new(settings);
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
    let settings = BudgetSettings {
        ratio: 0.0,
        allowance: 2.0,
        window: Duration::from_secs(10),
    };
    let mut budget = SharedBudget::new(settings);
    assert!(budget.has_retry(ms(0), 1) && budget.has_retry(ms(0), 1));
    assert!(budget.take_retry(ms(0), 1));
    assert!(!budget.has_retry(ms(1), 1) && !budget.take_retry(ms(1), 1));
    assert!(budget.has_retry(ms(20_000), 1));
}

#[test]
fn probes_show_what_is_silent_and_what_has_ended() {
    let mut monitor = Monitor::new(MonitorSettings::default());
    let id = "vm-1".into();
    assert!(monitor.on_failure(ms(0), &id, 1));
    assert_eq!(monitor.vitality(ms(10), &id, 1), Vitality::Suspect);
    monitor.on_silence(ms(20), &id, 1);
    monitor.on_silence(ms(30), &id, 1);
    assert_eq!(monitor.vitality(ms(40), &id, 1), Vitality::Silent);
    assert_eq!(
        monitor.vitality(ms(40), &id, 2),
        Vitality::Alive,
        "another incarnation"
    );
    monitor.on_refused(ms(50), &id, 1);
    monitor.on_refused(ms(60), &id, 1);
    assert_eq!(monitor.vitality(ms(70), &id, 1), Vitality::Dead);
    monitor.on_life(&id, 1);
    assert_eq!(monitor.vitality(ms(80), &id, 1), Vitality::Alive);
}

#[test]
fn a_large_vm_plans_before_a_small_one() {
    let mut book = book();
    book.hear(ms(0), news("a", 1));
    let large = ("b", 500);
    assert!(book.may_plan(ms(0), large, true, false));
    let small = ("0", 125);
    assert!(!book.may_plan(ms(0), small, true, false));
}
