//! Fuzz tests of every simulation against its oracle.

use bulrushhoist_core::Fencing;
use bulrushhoist_oracle::{
    ColdStartSimulation, ConfigSimulation, GroupSimulation, QuarantineSimulation, TicketSimulation,
    cold_start_actions, config_actions, fuzz_config, group_actions, quarantine_actions,
    ticket_actions,
};
use proptest::proptest;
use proptest::strategy::{Strategy as _, ValueTree as _};
use proptest::test_runner::{TestCaseError, TestRunner};

const CONFIG_SEED: u64 = 11;
const GROUPS_SEED: u64 = 12;
const COLD_SEED: u64 = 13;
const TICKETS_SEED: u64 = 14;
const POISON_SEED: u64 = 15;

fn fail(message: String) -> TestCaseError {
    TestCaseError::fail(message)
}

proptest! {
    #![proptest_config(fuzz_config(CONFIG_SEED))]
    #[test]
    fn a_fresh_daemon_holds_every_change_accepted_before_the_freshness_window(actions in config_actions()) {
        let mut simulation = ConfigSimulation::new();
        for action in &actions {
            simulation.step(action).map_err(fail)?;
        }
    }
}

proptest! {
    #![proptest_config(fuzz_config(GROUPS_SEED))]
    #[test]
    fn no_group_serves_without_a_member_and_all_recover(actions in group_actions()) {
        let mut simulation = GroupSimulation::new(Fencing::Checked);
        for action in &actions {
            simulation.step(action).map_err(fail)?;
        }
        simulation.recover().map_err(fail)?;
    }

    #[test]
    fn no_group_serves_without_a_member_where_endpoints_ignore_fencing(actions in group_actions()) {
        let mut simulation = GroupSimulation::new(Fencing::Ignored);
        for action in &actions {
            simulation.step(action).map_err(fail)?;
        }
        simulation.recover().map_err(fail)?;
    }
}

/// Guards against fuzz runs in which no group ever serves or changes, which
/// would pass the oracle without testing anything.
#[test]
fn drawn_group_runs_serve_and_replace_members() {
    let mut runner = TestRunner::new(fuzz_config(GROUPS_SEED));
    let (mut served, mut changed) = (0, 0);
    for _ in 0..100 {
        let actions = group_actions()
            .new_tree(&mut runner)
            .expect("a run is drawn")
            .current();
        let mut simulation = GroupSimulation::new(Fencing::Checked);
        let mut serving_groups = 0;
        for action in &actions {
            simulation.step(action).expect("the oracle holds");
            serving_groups = serving_groups.max(simulation.serving_groups());
        }
        served += usize::from(serving_groups > 0);
        changed += usize::from(simulation.composition_changes() > 0);
    }
    assert!(served >= 50, "groups served in {served} of 100 runs");
    assert!(
        changed >= 30,
        "members were replaced in {changed} of 100 runs"
    );
}

proptest! {
    #![proptest_config(fuzz_config(COLD_SEED))]
    #[test]
    fn a_cold_endpoint_never_exceeds_its_limit(actions in cold_start_actions()) {
        let mut simulation = ColdStartSimulation::new();
        for action in &actions {
            simulation.step(action).map_err(fail)?;
        }
    }
}

/// Guards against fuzz runs in which entries only wait for statements, which
/// would never overload the endpoint.
#[test]
fn drawn_cold_start_runs_join_entries_and_fill_the_endpoint() {
    let mut runner = TestRunner::new(fuzz_config(COLD_SEED));
    let (mut joined_entries, mut full) = (0, 0);
    for _ in 0..100 {
        let actions = cold_start_actions()
            .new_tree(&mut runner)
            .expect("a run is drawn")
            .current();
        let mut simulation = ColdStartSimulation::new();
        let mut running = 0;
        for action in &actions {
            simulation.step(action).expect("the oracle holds");
            running = running.max(simulation.running());
        }
        joined_entries += usize::from(simulation.joined_entries() > 0);
        full += usize::from(running >= 3);
    }
    assert!(
        joined_entries >= 30,
        "entries joined in {joined_entries} of 100 runs"
    );
    assert!(full >= 30, "the endpoint was full in {full} of 100 runs");
}

proptest! {
    #![proptest_config(fuzz_config(TICKETS_SEED))]
    #[test]
    fn a_ticket_runs_at_most_once_and_never_after_not_run(actions in ticket_actions()) {
        let mut simulation = TicketSimulation::new();
        for action in &actions {
            simulation.step(action).map_err(fail)?;
        }
    }
}

proptest! {
    #![proptest_config(fuzz_config(POISON_SEED))]
    #[test]
    fn a_poison_request_crashes_at_most_one_endpoint_more_than_first_ran_it(actions in quarantine_actions()) {
        let mut simulation = QuarantineSimulation::new();
        for action in &actions {
            simulation.step(action).map_err(fail)?;
        }
    }
}
