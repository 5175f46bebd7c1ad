//! Tests of how far an entry knows a kind of objects.

use super::Cursor;

/// Guards against an entry that lists a kind again from a relay which is behind, and so goes
/// back to records that it had replaced: a draining endpoint would get work again.
#[test]
fn a_list_never_goes_back_to_a_lower_revision() {
    let mut cursor = Cursor::default();
    assert!(cursor.accepts(0));
    cursor.advance(10);
    assert!(cursor.accepts(10) && !cursor.accepts(9));
    // The history is gone, so the kind must be listed.
    cursor.revision = None;
    assert!(!cursor.accepts(9));
    cursor.advance(12);
    assert_eq!(cursor.revision, Some(12));
}
