//! Fuzz runs of the small worlds against their ledgers.

use bulrushhoist_core::Fencing;
use bulrushhoist_oracle::{
    ColdWorld, ConfigWorld, GroupWorld, PoisonWorld, TicketWorld, cold_actions, config_actions,
    fuzz_config, group_actions, poison_actions, ticket_actions,
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
    fn who_takes_work_holds_every_change_accepted_before_the_bound(actions in config_actions()) {
        let mut world = ConfigWorld::new();
        for action in &actions {
            world.step(action).map_err(fail)?;
        }
    }
}

proptest! {
    #![proptest_config(fuzz_config(GROUPS_SEED))]
    #[test]
    fn no_group_serves_with_a_member_missing_and_all_recover(actions in group_actions()) {
        let mut world = GroupWorld::new(Fencing::Checked);
        for action in &actions {
            world.step(action).map_err(fail)?;
        }
        world.recover().map_err(fail)?;
    }

    #[test]
    fn the_same_holds_where_endpoints_ignore_fencing(actions in group_actions()) {
        let mut world = GroupWorld::new(Fencing::Ignored);
        for action in &actions {
            world.step(action).map_err(fail)?;
        }
        world.recover().map_err(fail)?;
    }
}

/// A world in which nothing happens proves nothing.
#[test]
fn the_drawn_runs_serve_and_swap_members() {
    let mut runner = TestRunner::new(fuzz_config(GROUPS_SEED));
    let (mut served, mut swapped) = (0, 0);
    for _ in 0..100 {
        let actions = group_actions()
            .new_tree(&mut runner)
            .expect("a run is drawn")
            .current();
        let mut world = GroupWorld::new(Fencing::Checked);
        let mut serving = 0;
        for action in &actions {
            world.step(action).expect("the oracle holds");
            serving = serving.max(world.serving());
        }
        served += usize::from(serving > 0);
        swapped += usize::from(world.swaps() > 0);
    }
    assert!(served >= 50, "groups served in {served} of 100 runs");
    assert!(
        swapped >= 30,
        "members were swapped in {swapped} of 100 runs"
    );
}

proptest! {
    #![proptest_config(fuzz_config(COLD_SEED))]
    #[test]
    fn a_cold_endpoint_never_gets_more_than_it_carries(actions in cold_actions()) {
        let mut world = ColdWorld::new();
        for action in &actions {
            world.step(action).map_err(fail)?;
        }
    }
}

/// Entries that only ever wait would overload nothing.
#[test]
fn the_drawn_runs_settle_newcomers_and_fill_the_endpoint() {
    let mut runner = TestRunner::new(fuzz_config(COLD_SEED));
    let (mut settled, mut full) = (0, 0);
    for _ in 0..100 {
        let actions = cold_actions()
            .new_tree(&mut runner)
            .expect("a run is drawn")
            .current();
        let mut world = ColdWorld::new();
        let mut running = 0;
        for action in &actions {
            world.step(action).expect("the oracle holds");
            running = running.max(world.running());
        }
        settled += usize::from(world.settled() > 0);
        full += usize::from(running >= 3);
    }
    assert!(settled >= 30, "newcomers settled in {settled} of 100 runs");
    assert!(full >= 30, "the endpoint was full in {full} of 100 runs");
}

proptest! {
    #![proptest_config(fuzz_config(TICKETS_SEED))]
    #[test]
    fn a_ticket_runs_at_most_once_and_never_after_not_run(actions in ticket_actions()) {
        let mut world = TicketWorld::new();
        for action in &actions {
            world.step(action).map_err(fail)?;
        }
    }
}

proptest! {
    #![proptest_config(fuzz_config(POISON_SEED))]
    #[test]
    fn a_poison_request_costs_two_endpoints_at_most(actions in poison_actions()) {
        let mut world = PoisonWorld::new();
        for action in &actions {
            world.step(action).map_err(fail)?;
        }
    }
}
