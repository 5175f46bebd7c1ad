//! Tests of the roster: outages of the store, evacuated data centres and cross-domain groups.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bulrushhoist_fleet::{Endpoint, EndpointPhase, GroupState, Name, Roster, RosterChange};
use proptest::collection::vec;
use proptest::prelude::{Just, Strategy, prop_assert, prop_oneof, proptest};
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
fn removal_takes_effect_at_once_while_the_store_answers() {
    // Guards against work for an endpoint whose record is gone for good.
    let mut roster = roster();
    assert!(roster.remove(ms(5_000), "vm-1"));
    assert!(roster.get("vm-1").is_none());
}

#[test]
fn removals_after_an_outage_wait_for_renewed_records() {
    // Records expire while the store is away. If their removal took effect at once, every
    // healthy endpoint would be dropped when the store returns.
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
fn endpoint_with_a_delayed_removal_gets_no_work() {
    // An endpoint whose record expired during an outage may be dead, so it must get no work
    // before its record is renewed.
    let mut roster = roster();
    roster.on_store_lost();
    roster.remove(ms(9_000), "vm-1");
    assert_eq!(roster.of_service("engines").count(), 1);
}

#[test]
fn evacuated_data_centre_gets_no_work() {
    // Guards against requests to a data centre that operators took out of service, and
    // against a data centre that stays unused after it is back in service.
    let mut roster = roster();
    roster.evacuate("dc-a".into(), true);
    assert_eq!(roster.of_service("engines").count(), 0);
    roster.evacuate("dc-a".into(), false);
    assert_eq!(roster.of_service("engines").count(), 2);
}

/// Guards against a data centre that goes back into service, or out of it, as the copy of a
/// restored store has it.
#[test]
fn a_copy_changes_which_data_centre_is_out_of_service() {
    for out in [true, false] {
        let mut roster = roster();
        roster.evacuate("dc-a".into(), out);
        let copy: BTreeSet<Name> = match out {
            true => BTreeSet::new(),
            false => ["dc-a".into()].into(),
        };
        roster.restore_evacuated(ms(9_000), copy.clone());
        assert!(roster.settle_evacuated(ms(11_000)).is_empty());
        assert_eq!(roster.is_evacuated("dc-a"), out);
        let changed = roster.settle_evacuated(ms(11_300));
        assert_eq!(changed[..], [("dc-a".into(), !out)]);
        // The operators write it again.
        roster.restore_evacuated(ms(20_000), copy);
        roster.evacuate("dc-a".into(), out);
        assert!(roster.settle_evacuated(ms(23_000)).is_empty());
        assert_eq!(roster.is_evacuated("dc-a"), out);
    }
}

#[test]
fn spans_domains_follows_the_members_records() {
    // A cross-domain group is slower than published. If it isn't recognised, its leader gets
    // as much work as the others and looks stalled.
    let mut roster = Roster::default();
    for (id, domain, rank) in [("vm-1", "d1", 0), ("vm-2", "d2", 1)] {
        let mut vm = endpoint(id, domain);
        vm.membership = member("g1", 1, rank, GroupState::Ready);
        roster.put(vm);
    }
    let leader = roster.get("vm-1").unwrap().clone();
    assert!(roster.spans_domains(&leader));
    let mut moved = endpoint("vm-2", "d1");
    moved.membership = member("g1", 1, 1, GroupState::Ready);
    roster.put(moved);
    assert!(!roster.spans_domains(&leader));
}

/// Guards against a stale record that brings a leaving endpoint back, and against a new
/// incarnation at the same name that gets nothing.
#[test]
fn a_late_record_brings_a_leaving_endpoint_back() {
    let mut roster = Roster::default();
    let record = |incarnation| Endpoint {
        incarnation,
        ..endpoint("vm-1", "d1")
    };
    roster.put(record(5));
    let id: Name = "vm-1".into();
    assert!(roster.set_leaving(&id, 5), "it is news");
    assert!(!roster.set_leaving(&id, 5), "it is news once");
    let accepts = |roster: &Roster| roster.get("vm-1").is_some_and(|e| roster.accepts_work(e));
    assert!(!accepts(&roster));
    roster.put(record(5));
    assert!(!accepts(&roster), "the record is older than the notice");
    roster.on_store_back(ms(1));
    roster.remove(ms(10_000), "vm-1");
    roster.put(record(5));
    assert!(!accepts(&roster), "removed and written again");
    roster.put(record(6));
    assert!(accepts(&roster), "the next incarnation starts anew");
    assert_eq!(roster.put(record(5)), RosterChange::Outdated);
    let known = roster.get("vm-1").map(|e| e.incarnation);
    assert_eq!(known, Some(6), "a record of the one before");
    assert!(
        !roster.set_leaving(&id, 4),
        "a late notice of an earlier one"
    );
}

/// What may happen to the endpoint of a number, as this entry hears of it.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// Its record, or a stale one, with an incarnation.
    Record(usize, u64),
    /// An answer, or another entry, says that an incarnation leaves.
    Leaves(usize, u64),
    Removed(usize),
    /// A list without any endpoint.
    EmptyList,
    StoreLost,
    StoreBack,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0..2_usize, 1..5_u64).prop_map(|(n, i)| Event::Record(n, i)),
        2 => (0..2_usize, 1..5_u64).prop_map(|(n, i)| Event::Leaves(n, i)),
        1 => (0..2_usize).prop_map(Event::Removed),
        1 => Just(Event::EmptyList),
        1 => Just(Event::StoreLost),
        1 => Just(Event::StoreBack),
    ]
}

proptest! {
    /// Guards against any series of answers, restarts, stale records and outages after which an
    /// incarnation that has said that it leaves gets work.
    #[test]
    fn a_series_of_records_brings_a_leaving_incarnation_back(
        series in vec((event(), 0..3_000_u64), 1..60)
    ) {
        let ids: [Name; 2] = ["vm-1".into(), "vm-2".into()];
        let mut roster = Roster::default();
        let mut left: BTreeMap<Name, u64> = BTreeMap::new();
        let mut now = ms(0);
        for (event, pause_ms) in series {
            now = now + Duration::from_millis(pause_ms);
            match event {
                Event::Record(n, incarnation) => {
                    let record = Endpoint { incarnation, ..endpoint(&ids[n], "d1") };
                    roster.put(record);
                }
                Event::Leaves(n, incarnation) => {
                    roster.set_leaving(&ids[n], incarnation);
                    let last = left.entry(ids[n].clone()).or_default();
                    *last = incarnation.max(*last);
                }
                Event::Removed(n) => {
                    roster.remove(now, &ids[n]);
                }
                Event::EmptyList => {
                    roster.retain(now, &BTreeSet::new());
                }
                Event::StoreLost => roster.on_store_lost(),
                Event::StoreBack => roster.on_store_back(now),
            }
            roster.apply_removals(now);
            for endpoint in roster.of_service("engines") {
                let gone = left.get(&endpoint.id).is_some_and(|l| endpoint.incarnation <= *l);
                prop_assert!(!gone, "{} {}", endpoint.id, endpoint.incarnation);
            }
        }
    }
}

fn written(sequence: u64, phase: EndpointPhase) -> Endpoint {
    Endpoint {
        sequence,
        phase,
        ..endpoint("vm-1", "d1")
    }
}

/// Guards against a record that was written before the last one and arrives after it, or is
/// in a copy of the store: a draining endpoint would get work again.
#[test]
fn an_older_record_brings_a_draining_endpoint_back() {
    let mut roster = Roster::default();
    roster.on_store_back(ms(0));
    roster.put(written(5, EndpointPhase::Ready));
    roster.put(written(8, EndpointPhase::Draining));
    let late = written(6, EndpointPhase::Ready);
    assert_eq!(roster.put(late.clone()), RosterChange::Outdated);
    assert_eq!(
        roster.put_restored(ms(9_000), late.clone()),
        RosterChange::Outdated
    );
    assert_eq!(roster.of_service("engines").count(), 0);
    assert!(roster.remove(ms(10_000), "vm-1"));
    assert_eq!(roster.put(late), RosterChange::Outdated);
    assert!(roster.get("vm-1").is_none());
    assert_eq!(
        roster.put(written(9, EndpointPhase::Ready)),
        RosterChange::Added
    );
}

/// Guards against a record of the same incarnation that isn't older and says `ready`: a
/// draining endpoint would get work again.
#[test]
fn a_later_record_brings_a_draining_endpoint_back() {
    let mut roster = Roster::default();
    roster.on_store_back(ms(0));
    roster.put(written(8, EndpointPhase::Draining));
    assert!(roster.is_leaving("vm-1", 1));
    for sequence in [8, 9] {
        roster.put(written(sequence, EndpointPhase::Ready));
        assert_eq!(roster.of_service("engines").count(), 0);
    }
    assert!(roster.remove(ms(10_000), "vm-1"));
    roster.put(written(10, EndpointPhase::Ready));
    assert_eq!(roster.of_service("engines").count(), 0);
    let next = Endpoint {
        incarnation: 2,
        ..written(1, EndpointPhase::Ready)
    };
    roster.put(next);
    assert_eq!(roster.of_service("engines").count(), 1);
    assert!(!roster.is_leaving("vm-1", 2));
}

/// Guards against work for an endpoint that has left without a notice and is in the copy
/// again, and against one that is never used again although it lives.
#[test]
fn a_record_of_the_copy_brings_a_removed_endpoint_back() {
    let mut roster = Roster::default();
    roster.on_store_back(ms(0));
    roster.put(written(5, EndpointPhase::Ready));
    assert!(roster.remove(ms(10_000), "vm-1"));
    roster.on_store_restored(ms(12_000));
    // Heartbeats that change nothing else are not announced, so the copy may have a later one.
    roster.put_restored(ms(12_000), written(9, EndpointPhase::Ready));
    assert_eq!(roster.of_service("engines").count(), 0);
    roster.put(written(9, EndpointPhase::Ready));
    roster.apply_removals(ms(14_500));
    assert_eq!(roster.of_service("engines").count(), 0);
    roster.put(written(10, EndpointPhase::Ready));
    assert_eq!(roster.of_service("engines").count(), 1, "it has written");
    assert!(roster.remove(ms(20_000), "vm-1"));
    roster.put_restored(ms(21_000), written(10, EndpointPhase::Ready));
    roster.apply_removals(ms(25_900));
    assert_eq!(roster.of_service("engines").count(), 0);
    roster.apply_removals(ms(26_000));
    assert_eq!(
        roster.of_service("engines").count(),
        1,
        "its lease was renewed"
    );
}

/// Guards against an endpoint that has left without a report and whose last heartbeat the
/// store executes late: it would look like any other. Also against one that only lost the
/// store for a while and looks like that for good.
#[test]
fn a_late_record_of_a_removed_endpoint_looks_like_any_other() {
    let mut roster = roster();
    roster.on_store_back(ms(0));
    assert!(!roster.has_returned("vm-1"));
    assert!(roster.remove(ms(10_000), "vm-1"));
    roster.put(written(9, EndpointPhase::Ready));
    roster.put(written(9, EndpointPhase::Ready));
    assert!(roster.has_returned("vm-1"));
    assert_eq!(roster.of_service("engines").count(), 2, "it may get work");
    roster.put(written(10, EndpointPhase::Ready));
    assert!(!roster.has_returned("vm-1"), "it has written");
    assert!(roster.remove(ms(20_000), "vm-1"));
    roster.put(written(20, EndpointPhase::Ready));
    roster.apply_removals(ms(30_900));
    assert!(roster.has_returned("vm-1"));
    roster.apply_removals(ms(31_000));
    assert!(!roster.has_returned("vm-1"), "its lease was renewed");
    assert!(roster.remove(ms(40_000), "vm-1"));
    let next = Endpoint {
        incarnation: 2,
        ..written(1, EndpointPhase::Ready)
    };
    roster.put(next);
    assert!(!roster.has_returned("vm-1"), "another incarnation");
}

#[test]
fn a_successor_at_an_address_ends_no_run() {
    // Guards against a run whose end stays unknown because its successor has another name, or
    // its record was removed before.
    let at = |id: &str, port: u16, incarnation: u64| {
        let mut endpoint = endpoint(id, "d1");
        endpoint.address.set_port(port);
        endpoint.incarnation = incarnation;
        endpoint
    };
    let mut roster = Roster::default();
    roster.on_store_back(ms(0));
    roster.put(at("vm-1", 1, 10));
    roster.put(at("vm-2", 2, 10));
    let ended = |roster: &Roster, new: &Endpoint| -> Vec<Name> {
        roster.ended_by(new).into_iter().map(|e| e.id).collect()
    };
    assert_eq!(ended(&roster, &at("vm-1", 1, 10)), [] as [Name; 0]);
    assert_eq!(ended(&roster, &at("vm-1", 1, 11)), ["vm-1".into()]);
    assert_eq!(ended(&roster, &at("vm-3", 2, 11)), ["vm-2".into()]);
    assert_eq!(ended(&roster, &at("vm-3", 2, 9)), [] as [Name; 0]);
    assert!(roster.remove(ms(5_000), "vm-2"));
    assert_eq!(ended(&roster, &at("vm-3", 2, 11)), ["vm-2".into()]);
    assert_eq!(ended(&roster, &at("vm-3", 3, 11)), [] as [Name; 0]);
}
