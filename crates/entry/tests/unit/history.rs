//! Tests of the order of what the store says.

use super::{ConfigurationOrigin, Cursor, Position};

fn at(era: u64, revision: u64) -> Position {
    Position::new(era, revision)
}

/// Guards against an entry that lists a kind again from a relay which is behind, and so goes
/// back to records that it had replaced: a draining endpoint would get work again.
#[test]
fn a_list_never_goes_back_to_a_lower_revision() {
    let mut cursor = Cursor::default();
    assert!(cursor.accepts(at(0, 0)));
    cursor.advance(at(0, 10));
    assert!(cursor.accepts(at(0, 10)) && !cursor.accepts(at(0, 9)));
    // The history is gone, so the kind must be listed.
    cursor.next = None;
    assert!(!cursor.accepts(at(0, 9)));
    cursor.advance(at(0, 12));
    assert_eq!(cursor.next, Some(at(0, 12)));
}

/// Guards against an entry that asks for changes after a revision which a restored store
/// hasn't given out yet, and against one that goes back to a relay of the earlier era.
#[test]
fn a_new_era_continues_at_its_own_revisions() {
    let mut cursor = Cursor::default();
    cursor.advance(at(1, 172));
    assert!(cursor.reset(at(2, 171)));
    assert_eq!(cursor.next, Some(at(2, 171)));
    assert!(!cursor.accepts(at(1, 173)));
    assert!(!cursor.reset(at(1, 173)));
    assert_eq!(cursor.next, Some(at(2, 171)));
}

/// Guards against a configuration that goes back to that of a copy, and against one that is
/// refused because its revision was given out before.
#[test]
fn a_new_era_is_ordered_by_versions_until_it_has_caught_up() {
    let origin = |era, revision, version| ConfigurationOrigin {
        position: at(era, revision),
        version,
    };
    let in_force = origin(1, 172, 14);
    assert!(!origin(2, 169, 7).replaces(in_force));
    assert!(origin(2, 171, 14).replaces(in_force));
    assert!(origin(2, 172, 16).replaces(in_force));
    assert!(!origin(1, 171, 15).replaces(in_force));
    // Within an era the operators may go back.
    assert!(origin(1, 173, 3).replaces(in_force));
    assert!(!origin(1, 180, 20).replaces(origin(2, 171, 14)));
}

#[test]
fn a_position_is_parsed_as_it_was_written() {
    for position in [at(0, 0), at(3, u64::MAX)] {
        assert_eq!(position.to_string().parse(), Ok(position));
    }
    assert_eq!("17".parse(), Ok(at(0, 17)));
    for bad in ["", "x", "1.", ".1", "1.2.3", "-1.2"] {
        assert!(bad.parse::<Position>().is_err(), "{bad}");
    }
}
