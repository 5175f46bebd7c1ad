//! Tests of who may plan while the store refuses or loses some entries.

mod support;

use std::time::Duration;

use bulrushhoist_fleet::StoreContact;
use support::ms;

const WITHIN: Duration = Duration::from_millis(2_500);

#[test]
fn entry_that_only_hears_the_store_through_others_does_not_plan() {
    // An entry that was cut off from the store and follows another one would be preferred
    // for planning again 3 s after each failed call, and nobody else would plan: on
    // cupwright-large scale-2 no lost member was replaced for 14 s.
    let mut contact = StoreContact::default();
    contact.on_direct_answer(ms(0));
    assert!(contact.may_plan(ms(100), WITHIN));
    contact.on_planner_failure(ms(1_000));
    for second in 1..60 {
        let now = ms(second * 1_000);
        contact.on_answer(now);
        assert!(!contact.may_plan(now, WITHIN), "after {second} s");
    }
    contact.on_direct_answer(ms(60_000));
    assert!(contact.may_plan(ms(60_100), WITHIN));
}

#[test]
fn an_entry_that_never_called_the_store_may_watch_it_but_not_plan() {
    let mut contact = StoreContact::default();
    contact.on_answer(ms(0));
    assert!(contact.reaches_store(ms(0)));
    assert!(!contact.may_plan(ms(0), WITHIN));
}

#[test]
fn a_refused_entry_leaves_watching_to_others_for_a_while() {
    let mut contact = StoreContact::default();
    contact.on_failure(ms(0));
    contact.on_answer(ms(500));
    assert!(!contact.reaches_store(ms(1_000)));
    assert!(contact.reaches_store(ms(8_000)), "it tries again");
    contact.on_failure(ms(8_500));
    assert!(!contact.reaches_store(ms(9_000)));
    contact.on_direct_answer(ms(9_100));
    assert!(contact.reaches_store(ms(9_100)));
}

#[test]
fn a_suspended_entry_must_hear_the_store_again_before_it_plans() {
    let mut contact = StoreContact::default();
    contact.on_direct_answer(ms(0));
    contact.reset();
    assert!(!contact.may_plan(ms(100), WITHIN));
}
