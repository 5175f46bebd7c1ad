//! Tests of what entries share: updates, the retry budget and the health of endpoints.

mod support;

use std::time::Duration;

use bulrushhoist_fleet::{
    EndpointLoad, Health, HealthMonitor, HealthSettings, PeerSettings, PeerTable, PeerUpdate,
    SharedRetryBudget, SharedRetryBudgetSettings,
};
use support::ms;

fn update(node: &str, sequence: u64) -> PeerUpdate {
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

fn table() -> PeerTable {
    PeerTable::new(PeerSettings::default())
}

#[test]
fn older_update_of_the_same_run_is_ignored() {
    // Updates may arrive out of order. An older one must not replace a newer one, but a
    // restarted peer counts from 1 again.
    let mut table = table();
    assert!(table.record(ms(0), update("b", 5)));
    assert!(!table.record(ms(1), update("b", 4)));
    let mut restarted = update("b", 1);
    restarted.incarnation = 2;
    assert!(table.record(ms(2), restarted));
}

#[test]
fn load_of_dead_peers_is_ignored() {
    // The requests of a dead entry end. Their last reported load would keep leaders looking
    // full.
    let mut table = table();
    table.record(ms(0), update("b", 1));
    table.record(ms(0), update("c", 1));
    assert_eq!(table.load(ms(100), 9), (6, 2_000));
    table.record(ms(2_000), update("c", 2));
    assert_eq!(table.load(ms(2_000), 9), (3, 1_000));
    assert_eq!(table.entry_count(ms(2_000)), 3);
}

#[test]
fn entry_that_plans_goes_on_planning() {
    // Of several planners at a time, all but one fail to store their plans, and each change of
    // the planner costs a takeover. So exactly one synced entry plans, and it keeps doing so.
    let mut table = table();
    table.record(ms(0), update("a", 1));
    assert!(
        !table.may_plan(ms(0), ("b", 250), true, false),
        "the lowest name goes first"
    );
    assert!(
        table.may_plan(ms(0), ("b", 250), true, true),
        "an entry that plans goes on"
    );
    let mut planning = update("a", 2);
    planning.planning = true;
    table.record(ms(0), planning);
    assert!(
        !table.may_plan(ms(0), ("b", 250), true, true),
        "of two that plan, the lowest name goes on"
    );
    assert!(
        !table.may_plan(ms(0), ("0", 250), true, false),
        "an entry that doesn't plan yet doesn't take over"
    );
    assert!(
        table.may_plan(ms(5_000), ("b", 250), true, false),
        "dead peers don't count"
    );
    assert!(
        !table.may_plan(ms(5_000), ("b", 250), false, false),
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

#[test]
fn larger_vm_plans_before_a_smaller_one() {
    // Guards against planning on a small VM while an entry on a larger one is live.
    let mut table = table();
    table.record(ms(0), update("a", 1));
    let large = ("b", 500);
    assert!(table.may_plan(ms(0), large, true, false));
    let small = ("0", 125);
    assert!(!table.may_plan(ms(0), small, true, false));
}
