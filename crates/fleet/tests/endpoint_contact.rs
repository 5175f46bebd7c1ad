//! Tests of whether an entry has a way to the endpoints.

mod support;

use bulrushhoist_fleet::ContactFailure::{self, Unanswered, Unconnected};
use bulrushhoist_fleet::{EndpointContact, Name};
use support::ms;

fn name(n: u64) -> Name {
    format!("vm-{n}").as_str().into()
}

/// Fails at this many endpoints, 100 ms apart, and returns whether the entry is cut off.
fn fails_at(failure: ContactFailure, count: u64, known: usize) -> EndpointContact {
    let mut contact = EndpointContact::default();
    for n in 0..count {
        contact.on_failure(ms(n * 100), &name(n), failure, known);
    }
    contact
}

/// Guards against an entry that takes the loss of its own path for that of each endpoint.
#[test]
fn failures_at_many_endpoints_are_a_lost_path() {
    for failure in [Unconnected, Unanswered] {
        let mut contact = fails_at(failure, 4, 48);
        assert!(contact.is_cut_off());
        contact.on_answer();
        contact.on_connected();
        assert!(
            contact.is_cut_off(),
            "only an answer on a new connection ends it"
        );
        contact.on_reached();
        assert!(!contact.is_cut_off());
        assert!(fails_at(failure, 3, 3).is_cut_off(), "there are no more");
    }
}

/// Guards against an entry that isn't cut off for as long as old connections live on.
#[test]
fn answers_on_old_connections_hide_that_new_ones_are_refused() {
    let mut contact = EndpointContact::default();
    for n in 0..4 {
        contact.on_failure(ms(n * 100), &name(n), Unconnected, 48);
        contact.on_answer();
    }
    assert!(contact.is_cut_off());
}

/// Guards against an entry that counts as cut off because endpoints fall silent.
#[test]
fn a_silent_endpoint_is_no_lost_path() {
    let mut contact = EndpointContact::default();
    for n in 0..50 {
        contact.on_failure(ms(n * 100), &name(n % 3), Unanswered, 48);
    }
    assert!(
        !contact.is_cut_off(),
        "three are silent and nobody asks others"
    );
    contact.on_answer();
    for n in 0..50 {
        contact.on_failure(ms(n * 100), &name(n), Unanswered, 48);
        contact.on_answer();
    }
    assert!(!contact.is_cut_off(), "others answer");
    for n in 0..10 {
        contact.on_failure(ms(9_000 + n), &name(n), Unanswered, 48);
    }
    assert!(!contact.is_cut_off(), "all were late at one moment");
    for n in 0..50 {
        contact.on_failure(ms(20_000 + n * 1_000), &name(n), Unconnected, 48);
    }
    assert!(!contact.is_cut_off(), "one after the other ends");
}

/// Guards against a planner that acts on the first failure after its path was lost, and
/// against one that waits for an endpoint that is lost itself.
#[test]
fn a_failure_counts_as_an_endpoints_before_another_has_answered() {
    for failure in [Unconnected, Unanswered] {
        let mut contact = EndpointContact::default();
        assert!(!contact.has_open_failure(ms(0)));
        contact.on_failure(ms(0), &name(0), failure, 48);
        assert!(contact.has_open_failure(ms(1_900)));
        assert!(!contact.has_open_failure(ms(2_000)), "it says nothing now");
        contact.on_failure(ms(3_000), &name(0), failure, 48);
        contact.on_reached();
        assert!(!contact.has_open_failure(ms(3_001)));
    }
}
