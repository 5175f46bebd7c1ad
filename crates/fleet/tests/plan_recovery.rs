//! Tests of the recovery of a plan that the store has lost.

mod support;

use bulrushhoist_fleet::{
    GroupPlan, GroupState, HealthMonitor, HealthSettings, MemberPlan, Plan, Roster, recover,
    vm_views,
};
use support::{endpoint, member, ms, service};

const ERA: u64 = 2;

/// VMs as their records show them: name, group, epoch, rank and state.
fn roster(vms: &[(&str, &str, u64, u32, GroupState)]) -> Roster {
    let mut roster = Roster::default();
    for (id, group, epoch, rank, state) in vms {
        let mut vm = endpoint(id, "d1");
        vm.model = Some("small".into());
        vm.membership = member(group, *epoch, *rank, *state);
        roster.put(vm);
    }
    roster
}

fn planned(name: &str, epoch: u64, members: &[&str]) -> GroupPlan {
    let members = members.iter().map(|id| MemberPlan {
        id: (*id).to_owned(),
        incarnation: 1,
    });
    GroupPlan {
        name: name.to_owned(),
        service: "engines".to_owned(),
        model: "small".to_owned(),
        epoch,
        members: members.collect(),
        standby: false,
        surge: false,
    }
}

fn recovered(plan: &Plan, roster: &Roster) -> Plan {
    let monitor = HealthMonitor::new(HealthSettings::default());
    let views = vm_views(ms(0), "engines", roster, &monitor);
    let mut plan = recover(plan, &service(), &views);
    plan.begin_era(ERA);
    plan
}

/// Guards against a plan of a copy that gives up the groups which run.
#[test]
fn a_group_that_serves_is_planned_as_it_is() {
    let roster = roster(&[
        ("vm-1", "engines-9", 9, 0, GroupState::Open),
        ("vm-2", "engines-9", 9, 1, GroupState::Ready),
        ("vm-3", "engines-1", 1, 0, GroupState::Open),
        ("vm-4", "engines-1", 1, 1, GroupState::Ready),
    ]);
    let plan = Plan {
        epoch: 4,
        groups: vec![
            planned("engines-1", 1, &["vm-3", "vm-4"]),
            planned("engines-2", 2, &["vm-1", "vm-2"]),
        ],
        ..Plan::default()
    };
    let next = recovered(&plan, &roster);
    let expected = [
        planned("engines-1", 1, &["vm-3", "vm-4"]),
        planned("engines-9", 9, &["vm-1", "vm-2"]),
    ];
    assert_eq!(next.groups, expected);
    assert_eq!(next.era, ERA);
}

/// Guards against an epoch that is drawn twice: a late order of the lost plan would be taken
/// for one of the new plan.
#[test]
fn lost_epochs_are_not_drawn_again() {
    let roster = roster(&[("vm-1", "engines-9", 9, 0, GroupState::Joining)]);
    let plan = Plan {
        epoch: 4,
        ..Plan::default()
    };
    assert!(recovered(&plan, &roster).next_epoch() > 9 + 500);
    assert!(recovered(&plan, &self::roster(&[])).next_epoch() > 4 + 500);
}

/// Guards against a group of the lost plan that can't serve and is planned for good.
#[test]
fn an_incomplete_group_is_not_planned() {
    let roster = roster(&[
        ("vm-1", "engines-9", 9, 0, GroupState::Open),
        ("vm-2", "engines-10", 10, 0, GroupState::Ready),
        ("vm-3", "engines-10", 10, 1, GroupState::Ready),
    ]);
    let lost = planned("engines-3", 3, &["vm-2", "vm-3"]);
    let plan = Plan {
        epoch: 4,
        groups: vec![lost],
        ..Plan::default()
    };
    assert!(recovered(&plan, &roster).groups.is_empty());
}

/// Guards against planning that ends for good because another writer left a huge epoch.
#[test]
fn an_epoch_of_another_writer_is_left_out() {
    let roster = roster(&[("vm-1", "engines-9", u64::MAX, 0, GroupState::Open)]);
    let plan = Plan {
        epoch: 4,
        ..Plan::default()
    };
    assert!(recovered(&plan, &roster).next_epoch() < 10_000);
}

/// Guards against a new deployment that skips epochs before it has planned anything.
#[test]
fn a_new_plan_starts_at_the_first_epoch() {
    assert_eq!(recovered(&Plan::default(), &roster(&[])).next_epoch(), 1);
}
