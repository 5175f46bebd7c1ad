//! Tests of the copy of the store that an entry keeps for its followers.

use std::time::Duration;

use bulrushhoist_core::Time;
use bytes::Bytes;

use super::{Lookup, MAX_CACHED_REMOVALS, Origin, Relay, RelayQuery, RelayedChange};
use crate::dialect::{Change, ObjectKind, StoredObject};
use crate::history::Position;

const KIND: ObjectKind = ObjectKind::Endpoints;
/// Age from which a copy is stale.
const MAX_AGE: Duration = Duration::from_millis(2_300);

fn object(name: &str, body: &str) -> StoredObject {
    StoredObject {
        name: name.to_owned(),
        revision: 1,
        body: Bytes::copy_from_slice(body.as_bytes()),
    }
}

/// Era of the store in most tests.
const ERA: u64 = 1;

fn position(revision: u64) -> Position {
    Position::new(ERA, revision)
}

fn query(after: Option<Position>) -> RelayQuery {
    RelayQuery {
        kind: KIND,
        after,
        wait: Duration::from_millis(500),
        follower: 7,
    }
}

fn ms(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// Returns the origin of an answer that the store gave at a time.
fn at(millis: u64) -> Origin {
    Origin {
        answered_at: ms(millis),
        hops: 0,
        relay: None,
    }
}

/// Returns the changes that a follower gets, as text, or the name of the refusal.
fn changes(relay: &Relay, now: Time, after: Option<u64>) -> Vec<String> {
    changes_after(relay, now, after.map(position))
}

fn changes_after(relay: &Relay, now: Time, after: Option<Position>) -> Vec<String> {
    let answer = match relay.lookup(now, &query(after), 1_024, MAX_AGE) {
        Lookup::Stale => return vec!["stale".to_owned()],
        Lookup::HistoryGone => return vec!["history gone".to_owned()],
        Lookup::Unchanged(answer) | Lookup::Changed(answer) => answer,
    };
    let text = |change: &RelayedChange| match change {
        RelayedChange::Put { name, body, .. } => format!("{name}={body}"),
        RelayedChange::Changed { name, .. } => format!("read {name}"),
        RelayedChange::Removed(name) => format!("-{name}"),
    };
    answer.changes.iter().map(text).collect()
}

fn relay() -> Relay {
    let relay = Relay::default();
    relay.reset(
        KIND,
        &[object("a", "1"), object("b", "1")],
        position(10),
        at(0),
    );
    relay
}

#[test]
fn a_query_is_parsed_as_it_was_written() {
    for after in [None, Some(position(0)), Some(position(u64::MAX))] {
        assert_eq!(
            RelayQuery::parse(&query(after).target()),
            Some(query(after))
        );
    }
    for bad in [
        "/relay/endpoints",
        "/relay/plans?wait=1&by=1",
        "/relay/endpoints/x?wait=1&by=1",
        "/relay/endpoints/1?wait=-1&by=1",
        "/relay/endpoints/1?wait=1&by=99999999999",
        "/other?wait=1&by=1",
    ] {
        assert_eq!(RelayQuery::parse(bad), None, "{bad}");
    }
}

/// Guards against followers that receive every change of an object that changes often, and
/// against a removal that hides a later change.
#[test]
fn an_object_that_changed_often_is_relayed_once() {
    let relay = relay();
    for revision in 11..500 {
        let body = revision.to_string();
        let changes = vec![Change::Put(object("a", &body))];
        relay.extend(KIND, &changes, position(revision), at(0));
    }
    assert_eq!(changes(&relay, ms(0), Some(10)), ["a=499"]);
    assert!(changes(&relay, ms(0), Some(499)).is_empty());
    let removed = vec![Change::Removed("b".to_owned())];
    let revision = 500;
    relay.extend(KIND, &removed, position(revision), at(0));
    assert_eq!(changes(&relay, ms(0), Some(499)), ["-b"]);
    let back = vec![Change::Put(object("b", "2"))];
    let revision = 501;
    relay.extend(KIND, &back, position(revision), at(0));
    assert_eq!(changes(&relay, ms(0), Some(499)), ["b=2"]);
}

/// Guards against followers that miss a removal because the relay no longer knows it.
#[test]
fn a_follower_that_is_too_far_behind_lists_everything_again() {
    let relay = relay();
    for revision in 11..=(11 + MAX_CACHED_REMOVALS as u64) {
        let changes = vec![Change::Removed(format!("gone-{revision}"))];
        relay.extend(KIND, &changes, position(revision), at(0));
    }
    assert_eq!(changes(&relay, ms(0), Some(10)), ["history gone"]);
    assert_eq!(changes(&relay, ms(0), None), ["a=1", "b=1"]);
}

/// Guards against a copy that counts as current because its relay answers, although the
/// relay itself, or the one that it follows, has lost the store.
#[test]
fn a_copy_is_stale_by_the_age_of_the_stores_answer() {
    let relay = relay();
    relay.extend(KIND, &[], position(10), at(1_000));
    assert!(changes(&relay, ms(3_200), Some(10)).is_empty());
    // The relay that this one follows answered just now, with a copy that is as old.
    relay.extend(KIND, &[], position(10), at(900));
    assert_eq!(changes(&relay, ms(3_400), Some(10)), ["stale"]);
}

#[test]
fn a_large_object_is_named_instead_of_sent() {
    let relay = Relay::default();
    let large = "x".repeat(2_000);
    relay.reset(KIND, &[object("a", &large)], position(10), at(0));
    assert_eq!(changes(&relay, ms(0), None), ["read a"]);
}

/// Guards against a follower that takes a relay of the earlier era for current, or the
/// restored state for changes to its own.
#[test]
fn a_follower_of_another_era_lists_everything_or_goes_elsewhere() {
    let relay = relay();
    let later = Position::new(ERA + 1, 3);
    assert_eq!(changes_after(&relay, ms(0), Some(later)), ["stale"]);
    relay.reset(KIND, &[object("a", "2")], later, at(0));
    assert_eq!(changes(&relay, ms(0), Some(10)), ["history gone"]);
    assert_eq!(changes_after(&relay, ms(0), None), ["a=2"]);
    assert!(changes_after(&relay, ms(0), Some(later)).is_empty());
}
