//! Records of endpoints around outages of the store.

mod support;

use std::collections::BTreeSet;

use bulrushhoist_fleet::{GroupState, Roster, RosterChange};
use support::{endpoint, member, ms};

fn roster() -> Roster {
    let mut roster = Roster::default();
    roster.on_store_back(ms(0));
    for id in ["vm-1", "vm-2"] {
        assert_eq!(roster.put(endpoint(id, "d1")), RosterChange::Added);
    }
    roster
}

#[test]
fn a_removal_counts_at_once_while_the_store_answers() {
    let mut roster = roster();
    assert!(roster.remove(ms(5_000), "vm-1"));
    assert!(roster.get("vm-1").is_none());
}

#[test]
fn records_that_lapsed_during_an_outage_have_time_to_come_back() {
    let mut roster = roster();
    roster.on_store_lost();
    roster.on_store_back(ms(9_000));
    assert!(roster.retain(ms(9_000), &BTreeSet::new()).is_empty());
    assert_eq!(roster.put(endpoint("vm-1", "d1")), RosterChange::Same);
    assert!(roster.apply_removals(ms(10_000)).is_empty());
    let gone = roster.apply_removals(ms(11_300));
    assert_eq!(gone, ["vm-2".into()]);
    assert!(roster.get("vm-1").is_some());
}

#[test]
fn an_endpoint_whose_record_lapsed_gets_no_new_work_meanwhile() {
    let mut roster = roster();
    roster.on_store_lost();
    roster.remove(ms(9_000), "vm-1");
    assert_eq!(roster.of_service("engines").count(), 1);
}

#[test]
fn data_centres_out_of_service_get_no_work() {
    let mut roster = roster();
    roster.evacuate("dc-a".into(), true);
    assert_eq!(roster.of_service("engines").count(), 0);
    roster.evacuate("dc-a".into(), false);
    assert_eq!(roster.of_service("engines").count(), 2);
}

#[test]
fn groups_over_several_domains_are_known() {
    let mut roster = Roster::default();
    for (id, domain, rank) in [("vm-1", "d1", 0), ("vm-2", "d2", 1)] {
        let mut vm = endpoint(id, domain);
        vm.membership = member("g1", 1, rank, GroupState::Ready);
        roster.put(vm);
    }
    let head = roster.get("vm-1").unwrap().clone();
    assert!(roster.spans_domains(&head));
    let mut moved = endpoint("vm-2", "d1");
    moved.membership = member("g1", 1, 1, GroupState::Ready);
    roster.put(moved);
    assert!(!roster.spans_domains(&head));
}
